/**
 * Holds items of batch jobs under which endpoints have crashed, by the records of
 * all nodes, so that neither their restarts nor a later job or coordinator sends
 * them to endpoints again and again. A held item is sent as a trial when one is
 * due; it is never given up before its retention time.
 */
import {CrashWatch, computeFingerprint} from '@sassafrasspan/calls';
import {
  Clock,
  EndpointEntry,
  ItemRun,
  ItemState,
  JobState,
  RunEnd,
} from '@sassafrasspan/core';
import type {EventLog} from '@sassafrasspan/runtime';

/** Time after a trial that was not granted before the next is claimed, in ms. */
const CLAIM_INTERVAL_MS = 1_000;

export interface ItemCrashGuardOptions {
  readonly crashes: CrashWatch;
  /** Returns a registered endpoint that takes work. */
  readonly findEndpoint: (id: string) => EndpointEntry | undefined;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** An item whose run broke, or that was suspected when its job was opened. */
interface WatchedItem {
  readonly job: JobState;
  readonly item: ItemState;
  readonly fingerprint: string;
  /** Whether a trial was granted whose run has not ended. */
  isOnTrial: boolean;
  nextClaimAtMs: number;
}

export class ItemCrashGuard {
  private readonly watched = new Map<ItemState, WatchedItem>();

  private constructor(private readonly options: ItemCrashGuardOptions) {}

  static create(options: ItemCrashGuardOptions): ItemCrashGuard {
    return new ItemCrashGuard(options);
  }

  /** Watches the items of a new job that an earlier one may have contained. */
  addJob(job: JobState): void {
    if (!this.options.crashes.hasRecords()) return;
    for (const item of job.items.values()) {
      const fingerprint = computeItemFingerprint(job, item);
      if (this.options.crashes.decide(fingerprint) === 'sound') continue;
      this.watchItem(job, item, fingerprint);
    }
    this.update();
  }

  /** Draws conclusions from the end of a run. */
  recordRunEnd(
    job: JobState,
    item: ItemState,
    run: ItemRun,
    end: RunEnd,
  ): void {
    const {crashes, findEndpoint} = this.options;
    const endpoint = findEndpoint(run.endpointId);
    const known = this.watched.get(item);
    if (known !== undefined) known.isOnTrial = false;
    const isEvidence = end === 'broken' || end === 'completed';
    if (!isEvidence || endpoint === undefined) return;
    if (end === 'completed' && known === undefined) return;
    const fingerprint = known?.fingerprint ?? computeItemFingerprint(job, item);
    if (end === 'broken') this.watchItem(job, item, fingerprint);
    else this.watched.delete(item);
    crashes.recordAttempt({
      requestId: item.item.id,
      fingerprint,
      endpoint,
      sentAtMs: run.startedAtMs,
      reply:
        end === 'broken'
          ? {type: 'lost', hadBytes: true, hasBroken: true, detail: end}
          : {type: 'answered', answer: COMPLETE_ANSWER, load: undefined},
    });
  }

  /** Holds and releases items by what is known now; must be called before each
   * plan. */
  update(): void {
    for (const watched of this.watched.values()) this.updateItem(watched);
  }

  private watchItem(job: JobState, item: ItemState, fingerprint: string): void {
    if (this.watched.has(item)) return;
    const state = {isOnTrial: false, nextClaimAtMs: 0};
    this.watched.set(item, {job, item, fingerprint, ...state});
  }

  private updateItem(watched: WatchedItem): void {
    const {job, item, fingerprint, isOnTrial} = watched;
    const {crashes, clock, log} = this.options;
    const isOver = item.phase !== 'waiting' && item.phase !== 'running';
    if (isOver || job.isEnded) {
      this.watched.delete(item);
      return;
    }
    if (isOnTrial || item.phase === 'running') return;
    const verdict = crashes.decide(fingerprint, 'item');
    const isHeld = verdict === 'quarantined' || verdict === 'trial-due';
    if (isHeld !== item.isHeld) {
      item.isHeld = isHeld;
      const fields = {requestId: item.item.id, job: job.job.id, fingerprint};
      log.writeEvent('item-held', {...fields, isHeld});
    }
    const nowMs = clock.readMonotonicMs();
    if (verdict !== 'trial-due' || nowMs < watched.nextClaimAtMs) return;
    watched.nextClaimAtMs = nowMs + CLAIM_INTERVAL_MS;
    void this.claimTrial(watched);
  }

  private async claimTrial(watched: WatchedItem): Promise<void> {
    const {item, fingerprint} = watched;
    const isGranted = await this.options.crashes.claimTrial(
      fingerprint,
      item.item.id,
      'item',
    );
    if (!isGranted) return;
    watched.isOnTrial = true;
    item.isHeld = false;
  }
}

/** The answer of a run that completed; its text is in the item. */
const COMPLETE_ANSWER = {status: 200, headers: {}, body: Buffer.alloc(0)};

function computeItemFingerprint({job}: JobState, {item}: ItemState): string {
  return computeFingerprint({
    customer: job.customer,
    method: 'POST',
    host: job.host,
    target: item.path,
    body: Buffer.from(item.body, 'base64'),
  });
}
