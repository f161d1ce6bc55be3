/**
 * What a node knows of the rate limits that endpoints state in their answers.
 */
import {Clock, EndpointLimits, LimitChange} from '@sassafrasspan/core';
import type {EventLog, Metrics} from '@sassafrasspan/runtime';

export interface RateGateOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/** An answer of an endpoint, as far as its limit is concerned. */
export interface LimitedAnswer {
  readonly endpointId: string;
  /** Requests per second; undefined if the answer states no limit. */
  readonly limit: number | undefined;
  readonly sentAtMs: number;
}

export class RateGate {
  private readonly limits = EndpointLimits.create();

  private constructor(private readonly options: RateGateOptions) {}

  static create(options: RateGateOptions): RateGate {
    return new RateGate(options);
  }

  /** Records the limit in an answer, or that it states none. */
  recordAnswer(answer: LimitedAnswer): void {
    const {endpointId, limit, sentAtMs} = answer;
    const {clock, metrics} = this.options;
    const nowMs = clock.readMonotonicMs();
    const change = this.limits.recordAnswer(endpointId, limit, sentAtMs, nowMs);
    if (limit !== undefined) metrics.addCount('limited_answers_total');
    this.writeChange(change, endpointId, limit);
  }

  private writeChange(
    change: LimitChange,
    endpoint: string,
    perSecond: number | undefined,
  ): void {
    const {log} = this.options;
    if (change === 'unchanged') return;
    if (change === 'ended') log.writeEvent('endpoint-unlimited', {endpoint});
    else log.writeEvent('endpoint-limited', {endpoint, perSecond});
  }
}
