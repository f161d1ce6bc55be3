/** Ownership of rollout steps, and calls about steps to the other entries. */
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

/** Longest wait for all other entries to receive a notice. */
const NOTIFY_TIMEOUT_MS = 250;

export interface StepPeersOptions {
  /** Name of this entry. */
  readonly entry: string;
  readonly directory: NodeDirectory;
}

/** Finds the owners of steps, and queries and notifies the other entries. */
export class StepPeers {
  private isLeaving = false;

  private constructor(private readonly options: StepPeersOptions) {}

  static create(options: StepPeersOptions): StepPeers {
    return new StepPeers(options);
  }

  /** Leaves all steps to the other entries from now on, if there are any. */
  stopOwning(): void {
    this.isLeaving = true;
  }

  /** Returns the entry that owns a step; undefined if this entry owns it. */
  findRemoteOwner(name: StepName): EntryPeer | undefined {
    const others = this.listAlive().filter(
      entry => entry.heartbeat?.leaving === false,
    );
    const names = others.map(entry => entry.name);
    if (!this.isLeaving) names.push(this.options.entry);
    const owner = findOwner(formatStepName(name.trainer, name.step), names);
    return others.find(entry => entry.name === owner)?.client;
  }

  /** Returns the first description that another entry has, if any. */
  async fetchDescription(name: StepName): Promise<StepDescription | undefined> {
    const replies = await Promise.all(
      this.listAlive().map(peer => fetchDescription(peer.client, name)),
    );
    return replies.find(reply => reply.isOk())?.unwrapOr(undefined);
  }

  /** Sends the other entries a description that could not be stored. */
  notifyUnsaved(name: StepName, description: StepDescription): Promise<void> {
    return this.notifyAll(peer => notifyUnsaved(peer, name, description));
  }

  /** Notifies the other entries of a published version. */
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
