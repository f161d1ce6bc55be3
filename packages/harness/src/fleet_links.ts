/**
 * One relay from each entry to each other node, so that a failure domain can
 * be cut off from the others in both directions.
 */
import {TcpRelay} from './tcp_relay';

const UNUSED_TARGET = '127.0.0.1:9';

/** A node of a plan. */
export interface PlannedNode {
  readonly name: string;
  readonly role: 'entry' | 'agent';
  readonly failureDomain: string;
}

/** A relay with the nodes at its ends. */
interface Link {
  readonly from: PlannedNode;
  readonly to: PlannedNode;
  readonly relay: TcpRelay;
}

/** The links of a system. */
export class FleetLinks {
  private readonly links: Link[] = [];

  private constructor(private readonly nodes: readonly PlannedNode[]) {}

  /** Builds the links of planned nodes; none is open. */
  static create(nodes: readonly PlannedNode[]): FleetLinks {
    return new FleetLinks(nodes);
  }

  /** Opens a relay from each entry to each other node. */
  async open(): Promise<void> {
    for (const from of this.nodes.filter(node => node.role === 'entry')) {
      for (const to of this.nodes.filter(node => node !== from)) {
        const relay = await TcpRelay.create(UNUSED_TARGET);
        this.links.push({from, to, relay});
      }
    }
  }

  /** Leads the links to a node to its address. */
  setTarget(name: string, address: string): void {
    for (const link of this.links) {
      if (link.to.name === name) link.relay.setTarget(address);
    }
  }

  /** Lists the nodes that a node can reach, at the addresses of its links. */
  listSeeds(name: string) {
    return this.links
      .filter(link => link.from.name === name)
      .map(({to, relay}) => ({...to, address: relay.getAddress()}));
  }

  /** Makes every link across the border of a failure domain silent. */
  cutDomain(domain: string): void {
    for (const link of this.listCrossingLinks(domain)) {
      link.relay.blockTraffic();
    }
  }

  /** Ends a cut. */
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

  /** Closes every link. */
  close(): void {
    for (const link of this.links) link.relay.close();
  }
}
