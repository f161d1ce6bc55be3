/** The other entries, as the steps of this one need them. */
import {
  HEARTBEAT_TIMEOUT_MS,
  StepDescription,
  findOwner,
  formatStepName,
} from '@sassafrasspan/core';
import type {EntryPeer} from '@sassafrasspan/nodes';
import {waitMs} from '@sassafrasspan/runtime';
import type {StepName} from '@sassafrasspan/trainers';
import type {PeerEntry, NodeDirectory} from './node_directory';
import {
  VersionNotice,
  fetchDescription,
  notifyUnsaved,
  notifyVersion,
} from './step_calls';

/** Time for which a slow entry is waited for. */
const NOTIFY_TIMEOUT_MS = 250;

/** What the view of the other entries is built from. */
export interface StepPeersOptions {
  readonly entry: string;
  readonly directory: NodeDirectory;
}

/** Finds homes of steps and asks or tells other entries. */
export class StepPeers {
  private isLeaving = false;

  private constructor(private readonly options: StepPeersOptions) {}

  /** Builds the view of an entry. */
  static create(options: StepPeersOptions): StepPeers {
    return new StepPeers(options);
  }

  /** This entry is home to no step from now on, if there are others. */
  stopOwning(): void {
    this.isLeaving = true;
  }

  /** Finds the entry that is home to a step, unless it is this one. */
  findRemoteOwner(name: StepName): EntryPeer | undefined {
    const others = this.listAlive().filter(
      entry => entry.heartbeat?.leaving === false,
    );
    const names = others.map(entry => entry.name);
    if (!this.isLeaving) names.push(this.options.entry);
    const home = findOwner(formatStepName(name.trainer, name.step), names);
    return others.find(entry => entry.name === home)?.client;
  }

  /** Asks the other entries for a description. */
  async fetchDescription(name: StepName): Promise<StepDescription | undefined> {
    const replies = await Promise.all(
      this.listAlive().map(peer => fetchDescription(peer.client, name)),
    );
    return replies.find(reply => reply.isOk())?.unwrapOr(undefined);
  }

  /** Lets the other entries remember what could not be saved. */
  notifyUnsaved(name: StepName, description: StepDescription): Promise<void> {
    return this.notifyAll(peer => notifyUnsaved(peer, name, description));
  }

  /** Tells the other entries of a published version. */
  notifyVersion(notice: VersionNotice): Promise<void> {
    return this.notifyAll(peer => notifyVersion(peer, notice));
  }

  private async notifyAll(
    notify: (peer: EntryPeer) => Promise<void>,
  ): Promise<void> {
    const notices = this.listAlive().map(peer => notify(peer.client));
    await Promise.race([Promise.all(notices), waitMs(NOTIFY_TIMEOUT_MS)]);
  }

  private listAlive(): PeerEntry[] {
    return this.options.directory
      .listEntries()
      .filter(entry => entry.heartbeatAgeMs <= HEARTBEAT_TIMEOUT_MS);
  }
}
