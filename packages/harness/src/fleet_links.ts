/**
 * One relay from each entry to each other node, so that tests can partition a
 * failure domain from the others in both directions.
 */
import {TcpRelay} from './tcp_relay';

/** Target of a link until its node has started; nothing listens here. */
const UNUSED_TARGET = '127.0.0.1:9';

/** A node that a plan names, before it has an address. */
export interface PlannedNode {
  readonly name: string;
  readonly role: 'entry' | 'agent';
  readonly failureDomain: string;
}

/** A relay from one node to another. */
interface Link {
  readonly from: PlannedNode;
  readonly to: PlannedNode;
  readonly relay: TcpRelay;
}

/** All links of a system. The caller opens and closes them. */
export class FleetLinks {
  private readonly links: Link[] = [];

  private constructor(private readonly nodes: readonly PlannedNode[]) {}

  static create(nodes: readonly PlannedNode[]): FleetLinks {
    return new FleetLinks(nodes);
  }

  /** Opens a relay from each entry to each other node, still without target. */
  async open(): Promise<void> {
    for (const from of this.nodes.filter(node => node.role === 'entry')) {
      for (const to of this.nodes.filter(node => node !== from)) {
        const relay = await TcpRelay.create(UNUSED_TARGET);
        this.links.push({from, to, relay});
      }
    }
  }

  /** Sets the address of a node as the target of every link to it. */
  setTarget(name: string, address: string): void {
    for (const link of this.links) {
      if (link.to.name === name) link.relay.setTarget(address);
    }
  }

  /** Returns the nodes linked from a node, with the addresses of its relays. */
  listSeeds(name: string) {
    return this.links
      .filter(link => link.from.name === name)
      .map(({to, relay}) => ({...to, address: relay.getAddress()}));
  }

  /**
   * Partitions a failure domain: its links to other domains carry no data, but
   * no connection is closed.
   */
  cutDomain(domain: string): void {
    for (const link of this.listCrossingLinks(domain)) {
      link.relay.blockTraffic();
    }
  }

  /** Lets new connections through again; silenced ones stay silent. */
  healDomain(domain: string): void {
    for (const link of this.listCrossingLinks(domain)) {
      link.relay.setMode('pass');
    }
  }

  private listCrossingLinks(domain: string): Link[] {
    return this.links.filter(
      ({from, to}) =>
        (from.failureDomain === domain) !== (to.failureDomain === domain),
    );
  }

  close(): void {
    for (const link of this.links) link.relay.close();
  }
}
