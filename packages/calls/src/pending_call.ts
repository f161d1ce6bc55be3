/**
 * One call on its way to endpoints: the I/O around their choice, retries and
 * hedging.
 */
import {
  CallProgress,
  CrashVerdict,
  EndpointEntry,
  ServiceError,
  computeHedgeDelay,
  createError,
  decideAfterAttempt,
} from '@sassafrasspan/core';
import {err, ok} from 'neverthrow';
import {describeEnd, describeReason} from './attempt_descriptions';
import type {CallPlacement} from './call_placement';
import {CallStart} from './call_starts';
import type {AttemptOutcome, EndpointAnswer, MatchedCall} from './call_types';
import type {CallForwarderOptions, CallResult} from './forwarder_options';

/** What a call that did not run says of its endpoint, by reason; that it is full for
 * all others. */
const NOT_RUN_OUTCOMES: Readonly<Record<string, 'failed' | 'neutral'>> = {
  unreachable: 'failed',
  unsendable: 'neutral',
};

export class PendingCall {
  /** Attempts in progress. */
  private readonly attempts = new Set<AbortController>();
  /** Attempts that may have run the call. */
  private runs = 0;
  private rejections = 0;
  private readonly start: CallStart;
  /** Attempts whose endpoint is being chosen. */
  private placements = 0;
  /** Latest answer after which the call was retried. */
  private lastAnswer: EndpointAnswer | undefined;
  private isOver = false;
  /** Whether the call has ended with an answer. */
  private isAnswered = false;
  private timers: NodeJS.Timeout[] = [];
  private resolve: (result: CallResult) => void = () => undefined;

  private constructor(
    private readonly options: CallForwarderOptions,
    private readonly matched: MatchedCall,
    private readonly service: string,
    private readonly fingerprint: string,
    private readonly placement: CallPlacement,
    private readonly verdict: CrashVerdict,
    /** The earlier of the caller's deadline and the route's timeout. */
    private readonly endsAtMs: number,
  ) {
    this.start = CallStart.create(matched.call, options.starts);
  }

  static create(
    options: CallForwarderOptions,
    matched: MatchedCall,
    service: string,
    fingerprint: string,
    placement: CallPlacement,
    verdict: CrashVerdict,
  ): PendingCall {
    const nowMs = options.clock.readMonotonicMs();
    const {call, route} = matched;
    const endsAtMs = Math.min(call.deadlineAtMs, nowMs + route.timeoutMs);
    return new PendingCall(
      options,
      matched,
      service,
      fingerprint,
      placement,
      verdict,
      endsAtMs,
    );
  }

  run(): Promise<CallResult> {
    return new Promise(resolve => {
      this.resolve = resolve;
      this.matched.call.signal.addEventListener('abort', this.cancel);
      this.addTimer(this.computeRemainingMs(), () => this.expire());
      void this.startAttempt();
      this.scheduleHedge();
    });
  }

  private readonly cancel = () =>
    this.end(err(createError('cancelled', 'the caller has disconnected')));

  private get mayRepeat(): boolean {
    return this.matched.route.kind === 'idempotent';
  }

  /** A trial is sent to one endpoint. */
  private get maxAttempts(): number {
    return this.verdict === 'trial-due' ? 1 : this.matched.route.maxAttempts;
  }

  private computeRemainingMs(): number {
    return this.endsAtMs - this.options.clock.readMonotonicMs();
  }

  private async startAttempt(isHedge = false): Promise<void> {
    this.placements += 1;
    const endpoint = await this.placement.chooseAdmitting(isHedge);
    this.placements -= 1;
    if (this.isOver) return;
    const nowMs = this.options.clock.readMonotonicMs();
    if (endpoint !== undefined) return this.runAttempt(endpoint, nowMs);
    if (this.attempts.size > 0 || this.placements > 0) return;
    if (this.lastAnswer !== undefined) this.end(ok(this.lastAnswer));
    else this.end(err(this.explainNoEndpoint()));
  }

  private explainNoEndpoint(): ServiceError {
    if (this.runs > 0) {
      return createError('endpoint-failed', `no untried endpoint is left`);
    }
    return (
      this.placement.explainDenial() ??
      createError('no-endpoint', `no endpoint of ${this.service}`)
    );
  }

  private async runAttempt(
    endpoint: EndpointEntry,
    startedAtMs: number,
  ): Promise<void> {
    const {caller, pool, clock, log, rateGate} = this.options;
    const {call} = this.matched;
    const controller = new AbortController();
    this.attempts.add(controller);
    this.runs += 1;
    pool.recordStart(endpoint.id);
    this.start.recordAttempt(startedAtMs);
    log.writeEvent('request-dispatched', {
      requestId: call.id,
      endpoint: endpoint.id,
      attempt: this.placement.countAttempts(),
      leftMs: this.computeRemainingMs(),
    });
    const reply = await caller.callEndpoint(
      endpoint,
      call,
      this.computeRemainingMs(),
      controller.signal,
      this.verdict === 'sound' && !rateGate.isLimited(endpoint.id),
    );
    this.attempts.delete(controller);
    const nowMs = clock.readMonotonicMs();
    this.recordReply(endpoint, reply, nowMs - startedAtMs, nowMs);
    this.recordStatements(endpoint, reply, startedAtMs);
    if (reply.type === 'answered') {
      call.onAnswered?.(reply.answer.status, endpoint);
    }
    if (reply.type === 'not-run') this.start.withdrawAttempt();
    this.reportUnanswered(endpoint, reply);
    this.recordCrashEvidence(endpoint, startedAtMs, reply);
    if (!this.isOver) this.handleReply(endpoint, reply);
  }

  private recordReply(
    endpoint: EndpointEntry,
    reply: AttemptOutcome,
    tookMs: number,
    nowMs: number,
  ): void {
    const {pool} = this.options;
    if (reply.type === 'answered') {
      const outcome = reply.answer.status < 500 ? 'answered' : 'failed';
      pool.recordEnd(endpoint.id, outcome, tookMs, nowMs, reply.load);
    } else if (reply.type === 'not-run') {
      const outcome = NOT_RUN_OUTCOMES[reply.reason] ?? 'full';
      pool.recordEnd(endpoint.id, outcome, tookMs, nowMs, reply.load);
    } else {
      const outcome = this.isOver ? 'neutral' : 'failed';
      if (this.isOver) pool.recordSlow(endpoint.id, tookMs, nowMs);
      pool.recordEnd(endpoint.id, outcome, tookMs, nowMs);
    }
  }

  /** Records what a reply states of its endpoint: a limit, and whether it leaves.
   * Only the expected endpoint's own reply says anything about it. */
  private recordStatements(
    endpoint: EndpointEntry,
    reply: AttemptOutcome,
    sentAtMs: number,
  ): void {
    const isReply =
      reply.type === 'answered' ||
      (reply.type === 'not-run' && reply.reason === 'full');
    if (!isReply) return;
    const {limit, isLeaving = false} = reply;
    if (isLeaving) this.recordLeaving(endpoint);
    this.options.rateGate.recordAnswer({
      endpointId: endpoint.id,
      limit,
      sentAtMs,
    });
  }

  private recordLeaving(endpoint: EndpointEntry): void {
    const {endpoints, log, metrics} = this.options;
    if (!endpoints.markLeaving(endpoint)) return;
    metrics.addCount('endpoints_leaving_total');
    log.writeEvent('endpoint-leaving', {
      endpoint: endpoint.id,
      requestId: this.matched.call.id,
    });
  }

  /** Logs an attempt that may have run and has no complete answer. */
  private reportUnanswered(
    endpoint: EndpointEntry,
    reply: AttemptOutcome,
  ): void {
    if (reply.type !== 'lost') return;
    this.options.log.writeEvent('attempt-unanswered', {
      requestId: this.matched.call.id,
      fingerprint: this.fingerprint,
      endpoint: endpoint.id,
      startedAtMs: endpoint.startedAtMs,
      hadBytes: reply.hadBytes,
      isPortClosed: reply.isPortClosed,
      reason: reply.detail,
      isOver: this.isOver,
    });
  }

  /** An attempt of a call that another endpoint has answered implicates nothing. */
  private recordCrashEvidence(
    endpoint: EndpointEntry,
    sentAtMs: number,
    reply: AttemptOutcome,
  ): void {
    if (this.isAnswered && reply.type === 'lost') return;
    const {fingerprint} = this;
    const requestId = this.matched.call.id;
    const attempt = {requestId, fingerprint, endpoint, sentAtMs, reply};
    this.options.crashes?.recordAttempt(attempt);
  }

  private handleReply(endpoint: EndpointEntry, reply: AttemptOutcome): void {
    if (reply.type === 'not-run') {
      this.runs -= 1;
      this.rejections += 1;
    }
    const end = describeEnd(reply);
    const step = decideAfterAttempt(end, this.describeProgress());
    if (step.type === 'wait') return;
    if (step.type === 'answer' && reply.type === 'answered') {
      return this.end(ok(reply.answer));
    }
    if (step.type === 'fail') {
      const {error} = step;
      const detail = `${error.detail}; last attempt: ${describeReason(reply)}`;
      return this.end(err({...error, detail}));
    }
    this.options.metrics.addCount('retries_total', {kind: end.type});
    if (reply.type === 'answered') this.lastAnswer = reply.answer;
    this.options.log.writeEvent('request-retried', {
      requestId: this.matched.call.id,
      endpoint: endpoint.id,
      reason: describeReason(reply),
      leftMs: this.computeRemainingMs(),
    });
    void this.startAttempt();
  }

  private describeProgress(): CallProgress {
    return {
      mayRepeat: this.mayRepeat,
      maxAttempts: this.maxAttempts,
      runs: this.runs,
      rejections: this.rejections,
      active: this.attempts.size + this.placements,
      remainingMs: this.computeRemainingMs(),
      hasOtherEndpoint: this.placement.hasUntried(),
    };
  }

  private scheduleHedge(): void {
    const {route, call} = this.matched;
    const delayMs = computeHedgeDelay(
      this.mayRepeat && call.mayHedge !== false && this.verdict === 'sound',
      this.maxAttempts,
      this.options.pool.getMeanLatencyMs(
        this.options.endpoints.listUsable(this.service),
      ),
      route.targetLatencyMs,
    );
    if (delayMs === undefined) return;
    this.addTimer(delayMs, () => {
      if (this.runs >= this.maxAttempts || this.runs === 0) return;
      if (this.placement.hasUnlimited()) void this.startAttempt(true);
    });
  }

  private expire(): void {
    const detail = `${this.runs} attempts under way at the deadline`;
    this.end(err(createError('deadline-exceeded', detail)));
  }

  private addTimer(delayMs: number, task: () => void): void {
    const run = () => {
      if (!this.isOver) task();
    };
    this.timers.push(setTimeout(run, Math.max(0, delayMs)));
  }

  private end(result: CallResult): void {
    if (this.isOver) return;
    this.isOver = true;
    this.isAnswered = result.isOk();
    for (const timer of this.timers) clearTimeout(timer);
    this.matched.call.signal.removeEventListener('abort', this.cancel);
    this.resolve(result);
    for (const attempt of this.attempts) attempt.abort();
  }
}
