/**
 * Watches for requests that crash the endpoints which run them: collects the
 * evidence of one node, and decides with the records of all nodes what may be
 * sent.
 */
import {
  Clock,
  CrashEvidence,
  CrashRecords,
  CrashVerdict,
  EndpointEntry,
  EndpointLife,
  RequestKind,
  classifyLife,
  formatCrashId,
} from '@sassafrasspan/core';
import type {PeerRoutes} from '@sassafrasspan/peers';
import type {EventLog, Metrics} from '@sassafrasspan/runtime';
import type {AttemptOutcome, EndpointProber} from './call_types';
import {
  CrashRecordExchange,
  CrashRecordExchangeOptions,
} from './crash_record_exchange';

/** Lowest status that does not clear a request: an endpoint may answer with an
 * error without having begun to run it. */
const MIN_ERROR_STATUS = 400;

export interface CrashWatchOptions extends Omit<
  CrashRecordExchangeOptions,
  'records' | 'onMerged'
> {
  readonly prober: EndpointProber;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/** An attempt of a request at an endpoint, and how it ended. */
export interface EndedAttempt {
  readonly requestId: string;
  readonly fingerprint: string;
  readonly endpoint: EndpointEntry;
  readonly sentAtMs: number;
  readonly reply: AttemptOutcome;
}

export class CrashWatch {
  private readonly evidence = CrashEvidence.create();
  private readonly records = CrashRecords.create();
  private readonly exchange: CrashRecordExchange;
  /** Ids of the ends that are being looked for. */
  private readonly probed = new Set<string>();
  /** Fingerprints whose quarantine was logged. */
  private readonly quarantined = new Set<string>();
  /** Registered endpoints; undefined before the first list. */
  private registered: readonly EndpointEntry[] | undefined;

  private constructor(private readonly options: CrashWatchOptions) {
    this.exchange = CrashRecordExchange.create({
      ...options,
      records: this.records,
      onMerged: fingerprints => {
        for (const fingerprint of fingerprints) this.reportCrashes(fingerprint);
      },
    });
  }

  static create(options: CrashWatchOptions): CrashWatch {
    return new CrashWatch(options);
  }

  /** Must be called before the cluster runs. */
  start(): void {
    this.exchange.start();
  }

  /** Makes no further calls. */
  stop(): void {
    this.exchange.stop();
  }

  /** Returns handlers for the calls of other nodes. */
  createRoutes(): PeerRoutes {
    return this.exchange.createRoutes();
  }

  decide(fingerprint: string, kind?: RequestKind): CrashVerdict {
    const {clock} = this.options;
    return this.records.decide(fingerprint, clock.readWallMs(), kind);
  }

  /** Returns whether endpoints have crashed under any request. */
  hasRecords(): boolean {
    return this.records.list().length > 0;
  }

  /** Returns whether this node may send a quarantined request once more. */
  async claimTrial(
    fingerprint: string,
    requestId: string,
    kind?: RequestKind,
  ): Promise<boolean> {
    const {log, metrics} = this.options;
    const nowMs = this.options.clock.readWallMs();
    const id = `trial ${requestId} ${nowMs}`;
    const isGranted =
      this.decide(fingerprint, kind) === 'trial-due' &&
      (await this.exchange.claimTrial(fingerprint, id));
    metrics.addCount('crash_trials_total', {granted: String(isGranted)});
    log.writeEvent('trial-claimed', {requestId, fingerprint, isGranted});
    return isGranted;
  }

  /** Draws conclusions from the end of an attempt, also after that of its call. */
  recordAttempt(attempt: EndedAttempt): void {
    const {endpoint, reply, sentAtMs} = attempt;
    if (reply.type === 'lost') {
      return this.recordLoss(attempt, reply.hasBroken, reply.isPortClosed);
    }
    if (reply.type === 'answered') {
      if (reply.isDelimitedByClose) return this.recordLoss(attempt, true);
      this.evidence.recordReply(endpoint, sentAtMs);
      if (reply.answer.status < MIN_ERROR_STATUS) this.clear(attempt);
      return;
    }
    if (reply.isPortClosed) this.endLife(endpoint, 'not-listening');
    else if (reply.reason === 'other-instance') {
      this.endLife(endpoint, 'other-instance');
    } else if (reply.reason === 'full') {
      this.evidence.recordReply(endpoint, sentAtMs);
    }
  }

  /** Compares the endpoints whose requests broke with the registered ones. */
  setEndpoints(endpoints: readonly EndpointEntry[]): void {
    this.registered = endpoints;
    for (const life of this.evidence.listOpen()) {
      const state = classifyLife(life, this.findRegistered(life.id));
      if (state === 'leaves') this.evidence.recordLeaving(life);
      else if (state === 'ended') this.endLife(life, 'registration');
    }
  }

  private findRegistered(id: string): EndpointEntry | undefined {
    return this.registered?.find(entry => entry.id === id);
  }

  /** Records an attempt whose endpoint may have ended before its answer did. */
  private recordLoss(
    {endpoint, fingerprint, requestId}: EndedAttempt,
    hasBroken: boolean,
    isPortClosed = false,
  ): void {
    const {clock} = this.options;
    // The end of an endpoint that leaves, or has left, as planned is no crash.
    const entry = this.findRegistered(endpoint.id);
    const hasLeft = this.registered !== undefined && entry === undefined;
    if (hasLeft || entry?.isDraining) return;
    const nowMs = clock.readMonotonicMs();
    const hasEnded = this.evidence.recordBreak(endpoint, fingerprint, nowMs);
    if (hasEnded) this.implicate(fingerprint, endpoint, requestId);
    else if (isPortClosed) this.endLife(endpoint, 'not-listening');
    else if (hasBroken) void this.probe(endpoint);
  }

  /** Finds out whether an endpoint whose connection broke still listens. */
  private async probe(endpoint: EndpointEntry): Promise<void> {
    const name = formatCrashId(endpoint);
    if (this.probed.has(name)) return;
    this.probed.add(name);
    const isListening = await this.options.prober.isListening(endpoint);
    this.probed.delete(name);
    if (isListening === false) this.endLife(endpoint, 'not-listening');
  }

  private endLife(life: EndpointLife, proof: string): void {
    const {clock, log, metrics} = this.options;
    const nowMs = clock.readMonotonicMs();
    const fingerprints = this.evidence.recordEnd(life, nowMs);
    if (fingerprints.length === 0) return;
    metrics.addCount('endpoint_crashes_total', {proof});
    const {id: endpoint, startedAtMs} = life;
    const requests = fingerprints.length;
    log.writeEvent('endpoint-ended', {endpoint, startedAtMs, proof, requests});
    for (const fingerprint of fingerprints) this.implicate(fingerprint, life);
  }

  private implicate(
    fingerprint: string,
    life: EndpointLife,
    requestId?: string,
  ): void {
    const {clock} = this.options;
    const crash = {id: formatCrashId(life), atMs: clock.readWallMs()};
    if (!this.records.addCrash(fingerprint, crash)) return;
    this.reportCrashes(fingerprint, crash.id, requestId);
    this.exchange.publish(fingerprint);
  }

  private reportCrashes(
    fingerprint: string,
    crash?: string,
    requestId?: string,
  ): void {
    const {log, metrics} = this.options;
    const crashes = this.records.countCrashes(fingerprint);
    const fields = {requestId, fingerprint, crash, crashes};
    if (crash !== undefined) log.writeEvent('request-implicated', fields);
    if (this.decide(fingerprint) !== 'quarantined') {
      this.quarantined.delete(fingerprint);
      return;
    }
    if (this.quarantined.has(fingerprint)) return;
    this.quarantined.add(fingerprint);
    metrics.addCount('requests_quarantined_total');
    log.writeEvent('request-quarantined', fields);
  }

  private clear({fingerprint, requestId}: EndedAttempt): void {
    this.evidence.recordSuccess(fingerprint);
    const crashes = this.records.countCrashes(fingerprint);
    if (crashes === 0 || !this.records.clear(fingerprint)) return;
    this.quarantined.delete(fingerprint);
    const fields = {requestId, fingerprint, crashes};
    this.options.log.writeEvent('request-cleared', fields);
    this.exchange.publish(fingerprint);
  }
}
