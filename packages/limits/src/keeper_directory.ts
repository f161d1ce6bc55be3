/**
 * Which nodes keep the limit of an endpoint. The agent beside an engine keeps
 * that engine's limit, since it starts the items there; the limits of all other
 * endpoints are divided among the entries.
 */
import {rankKeepers} from '@sassafrasspan/core';
import type {ClusterWatch, RegisteredNode} from '@sassafrasspan/peers';
import type {KeeperFinder, LimitedEndpoint} from './rate_gate';

export class KeeperDirectory implements KeeperFinder {
  private constructor(
    private readonly cluster: ClusterWatch,
    private readonly ownName: string,
  ) {}

  static create(cluster: ClusterWatch, ownName: string): KeeperDirectory {
    return new KeeperDirectory(cluster, ownName);
  }

  listKeepers(endpoint: LimitedEndpoint): RegisteredNode[] {
    const agent = this.cluster
      .listNodes('agent')
      .find(node => node.engine === endpoint.address);
    if (agent !== undefined) return [agent];
    const entries = new Map(
      this.cluster.listNodes('entry').map(node => [node.name, node]),
    );
    return rankKeepers(endpoint.id, [...entries.keys()])
      .map(name => entries.get(name))
      .filter(node => node !== undefined);
  }

  /** Returns this node's rank among the entries that keep a limit; -1 if it
   * keeps none. */
  findOwnRank(endpointId: string): number {
    const names = this.cluster.listNodes('entry').map(node => node.name);
    return rankKeepers(endpointId, names).indexOf(this.ownName);
  }

  isOwn(node: RegisteredNode): boolean {
    return node.name === this.ownName;
  }

  /** Lists the other nodes that send calls: entries and the coordinator. */
  listOtherSenders(): string[] {
    const entries = this.cluster
      .listNodes('entry')
      .filter(node => !this.isOwn(node))
      .map(node => node.address);
    const coordinator = this.cluster.getCoordinator()?.record;
    if (coordinator === undefined || coordinator.node === this.ownName) {
      return entries;
    }
    return [...entries, coordinator.address];
  }
}
