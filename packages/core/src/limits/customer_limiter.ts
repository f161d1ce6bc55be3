/**
 * Enforces the rules of kind `limit` at one entry: requests per second, tokens
 * per second and concurrent requests of a customer. The entry enforces its own
 * part of each limit.
 */
import {Result, err, ok} from 'neverthrow';
import {ServiceError, createError} from '../errors/error_kinds';
import type {RuleOf} from '../rules/rule_schemas';
import {splitLimit} from './limit_split';

const MS_PER_SECOND = 1_000;
const DEMAND_WINDOW_MS = 1_000;
const DEMAND_SMOOTHING = 0.5;
/** Suggested wait for a call that exceeds a concurrency limit. */
const CONCURRENCY_RETRY_MS = 250;
/** Minimum suggested wait for a call that exceeds a rate limit. */
const MIN_RETRY_MS = 50;

/** Demand of one customer at one entry, admitted or not. */
export interface CustomerDemand {
  readonly customer: string;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly concurrent: number;
}

/** A call with the limits that apply to it. */
export interface LimitedCall {
  readonly customer: string;
  readonly expectedTokens: number;
  readonly rules: readonly RuleOf<'limit'>[];
  /** Demand at each other entry; undefined if the entry is silent. */
  readonly peers: readonly (readonly CustomerDemand[] | undefined)[];
}

/** Measured demand and running calls of one customer. */
interface CustomerMeter {
  windowStartMs: number;
  windowRequests: number;
  windowTokens: number;
  requestsPerSecond: number;
  tokensPerSecond: number;
  concurrent: number;
}

/** A token bucket; one call may take its level below 0. */
interface Bucket {
  level: number;
  filledAtMs: number;
}

type DemandField = Exclude<keyof CustomerDemand, 'customer'>;

/** Measures demand and enforces limits at one entry. */
export class CustomerLimiter {
  private readonly meters = new Map<string, CustomerMeter>();
  private readonly buckets = new Map<string, Bucket>();

  private constructor() {}

  static create(): CustomerLimiter {
    return new CustomerLimiter();
  }

  /**
   * Admits a call, which the caller must release when it ends. Fails with
   * `limit-exceeded` and the time after which to retry.
   */
  admitCall(call: LimitedCall, nowMs: number): Result<void, ServiceError> {
    const meter = this.getCurrentMeter(call.customer, nowMs);
    meter.windowRequests += 1;
    meter.windowTokens += call.expectedTokens;
    const waitMs = Math.max(
      0,
      ...call.rules.map(rule => this.computeWaitMs(rule, call, meter, nowMs)),
    );
    if (waitMs > 0) {
      const detail = `${call.customer} is over its limit at this entry`;
      const retryAfterMs = Math.ceil(waitMs);
      return err(createError('limit-exceeded', detail, {retryAfterMs}));
    }
    for (const rule of call.rules) this.chargeRule(rule, call.expectedTokens);
    meter.concurrent += 1;
    return ok(undefined);
  }

  /** Records that an admitted call has ended. */
  releaseCall(customer: string): void {
    const meter = this.meters.get(customer);
    if (meter !== undefined) meter.concurrent -= 1;
  }

  /** Lists the demand of all customers, for heartbeats to other entries. */
  listDemand(nowMs: number): CustomerDemand[] {
    return [...this.meters.keys()].map(customer => {
      const meter = this.getCurrentMeter(customer, nowMs);
      const {requestsPerSecond, tokensPerSecond, concurrent} = meter;
      return {customer, requestsPerSecond, tokensPerSecond, concurrent};
    });
  }

  private getCurrentMeter(customer: string, nowMs: number): CustomerMeter {
    const meter = this.meters.get(customer) ?? createMeter(nowMs);
    this.meters.set(customer, meter);
    const elapsedMs = nowMs - meter.windowStartMs;
    if (elapsedMs >= DEMAND_WINDOW_MS) startNextWindow(meter, elapsedMs, nowMs);
    return meter;
  }

  /** Returns the time in ms for which a rule delays a call; 0 if it admits it. */
  private computeWaitMs(
    rule: RuleOf<'limit'>,
    call: LimitedCall,
    meter: CustomerMeter,
    nowMs: number,
  ): number {
    const splitField = (limit: number, field: DemandField) =>
      splitLimit(
        limit,
        meter[field],
        call.peers.map(peer => ({
          demand: findPeerDemand(peer, call.customer, field),
        })),
      );
    const waits = (['requestsPerSecond', 'tokensPerSecond'] as const).map(
      field => {
        const limit = rule[field];
        if (limit === undefined) return 0;
        const rate = splitField(limit, field);
        return this.computeBucketWaitMs(`${rule.id}/${field}`, rate, nowMs);
      },
    );
    if (rule.concurrent !== undefined) {
      const maxConcurrent = Math.max(
        1,
        splitField(rule.concurrent, 'concurrent'),
      );
      waits.push(
        meter.concurrent + 1 > maxConcurrent ? CONCURRENCY_RETRY_MS : 0,
      );
    }
    return Math.max(...waits);
  }

  /**
   * Refills a bucket for the time since its last refill. Returns the time in ms
   * until its level is above 0.
   */
  private computeBucketWaitMs(
    key: string,
    rate: number,
    nowMs: number,
  ): number {
    const bucket = this.buckets.get(key) ?? {level: rate, filledAtMs: nowMs};
    this.buckets.set(key, bucket);
    const refill = ((nowMs - bucket.filledAtMs) * rate) / MS_PER_SECOND;
    bucket.level = Math.min(Math.max(rate, 1), bucket.level + refill);
    bucket.filledAtMs = nowMs;
    if (bucket.level > 0) return 0;
    return Math.max(MIN_RETRY_MS, (-bucket.level * MS_PER_SECOND) / rate);
  }

  private chargeRule(rule: RuleOf<'limit'>, tokens: number): void {
    const requestBucket = this.buckets.get(`${rule.id}/requestsPerSecond`);
    if (requestBucket !== undefined) requestBucket.level -= 1;
    const tokenBucket = this.buckets.get(`${rule.id}/tokensPerSecond`);
    if (tokenBucket !== undefined) tokenBucket.level -= tokens;
  }
}

function createMeter(nowMs: number): CustomerMeter {
  return {
    windowStartMs: nowMs,
    windowRequests: 0,
    windowTokens: 0,
    requestsPerSecond: 0,
    tokensPerSecond: 0,
    concurrent: 0,
  };
}

/** Updates the smoothed rates from the current window and starts a new one. */
function startNextWindow(
  meter: CustomerMeter,
  elapsedMs: number,
  nowMs: number,
): void {
  const windowsPerSecond = MS_PER_SECOND / elapsedMs;
  const updateRate = (previousRate: number, count: number) =>
    previousRate + DEMAND_SMOOTHING * (count * windowsPerSecond - previousRate);
  meter.requestsPerSecond = updateRate(
    meter.requestsPerSecond,
    meter.windowRequests,
  );
  meter.tokensPerSecond = updateRate(meter.tokensPerSecond, meter.windowTokens);
  meter.windowRequests = 0;
  meter.windowTokens = 0;
  meter.windowStartMs = nowMs;
}

/**
 * Returns a customer's demand at a peer: 0 if the peer does not list the
 * customer, undefined if the peer is silent.
 */
function findPeerDemand(
  peer: readonly CustomerDemand[] | undefined,
  customer: string,
  field: DemandField,
): number | undefined {
  if (peer === undefined) return undefined;
  const customerDemand = peer.find(demand => demand.customer === customer);
  return customerDemand?.[field] ?? 0;
}
