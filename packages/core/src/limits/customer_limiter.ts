/**
 * Holds customers to the rules of kind `limit` at one entry: requests and
 * tokens a second, and requests at once, each by this entry's part.
 */
import {Result, err, ok} from 'neverthrow';
import {ServiceError, createError} from '../errors/error_kinds';
import type {RuleOf} from '../rules/rule_schemas';
import {splitLimit} from './limit_split';

const MS_PER_SECOND = 1_000;
const DEMAND_WINDOW_MS = 1_000;
const DEMAND_SMOOTHING = 0.5;
const CONCURRENCY_RETRY_MS = 250;
const MIN_RETRY_MS = 50;

/** Demand of one customer at one entry. */
export interface CustomerDemand {
  readonly customer: string;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly concurrent: number;
}

/** A call that is held to limits. */
export interface LimitedCall {
  readonly customer: string;
  readonly expectedTokens: number;
  readonly rules: readonly RuleOf<'limit'>[];
  /** Demand of each other entry; undefined of a silent one. */
  readonly peers: readonly (readonly CustomerDemand[] | undefined)[];
}

/** What one customer has asked for and has open. */
interface CustomerMeter {
  windowStartMs: number;
  windowRequests: number;
  windowTokens: number;
  requestsPerSecond: number;
  tokensPerSecond: number;
  concurrent: number;
}

/** A token bucket; it may go below 0 by one call. */
interface Bucket {
  level: number;
  filledAtMs: number;
}

type DemandField = Exclude<keyof CustomerDemand, 'customer'>;

/** Limits of one entry. */
export class CustomerLimiter {
  private readonly meters = new Map<string, CustomerMeter>();
  private readonly buckets = new Map<string, Bucket>();

  private constructor() {}

  /** Builds a limiter that has seen no call. */
  static create(): CustomerLimiter {
    return new CustomerLimiter();
  }

  /** Admits a call, which is released later, or says when to come back. */
  admitCall(call: LimitedCall, nowMs: number): Result<void, ServiceError> {
    const meter = this.openMeter(call.customer, nowMs);
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

  /** Notes that an admitted call has ended. */
  releaseCall(customer: string): void {
    const meter = this.meters.get(customer);
    if (meter !== undefined) meter.concurrent -= 1;
  }

  /** Lists the demand of customers, for heartbeats. */
  listDemand(nowMs: number): CustomerDemand[] {
    return [...this.meters.keys()].map(customer => {
      const meter = this.openMeter(customer, nowMs);
      const {requestsPerSecond, tokensPerSecond, concurrent} = meter;
      return {customer, requestsPerSecond, tokensPerSecond, concurrent};
    });
  }

  private openMeter(customer: string, nowMs: number): CustomerMeter {
    const meter = this.meters.get(customer) ?? createMeter(nowMs);
    this.meters.set(customer, meter);
    const passedMs = nowMs - meter.windowStartMs;
    if (passedMs >= DEMAND_WINDOW_MS) closeWindow(meter, passedMs, nowMs);
    return meter;
  }

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
        return this.fillBucket(`${rule.id}/${field}`, rate, nowMs);
      },
    );
    if (rule.concurrent !== undefined) {
      const most = Math.max(1, splitField(rule.concurrent, 'concurrent'));
      waits.push(meter.concurrent + 1 > most ? CONCURRENCY_RETRY_MS : 0);
    }
    return Math.max(...waits);
  }

  /** Fills a bucket; returns the time until it is above 0, in ms. */
  private fillBucket(key: string, rate: number, nowMs: number): number {
    const bucket = this.buckets.get(key) ?? {level: rate, filledAtMs: nowMs};
    this.buckets.set(key, bucket);
    const added = ((nowMs - bucket.filledAtMs) * rate) / MS_PER_SECOND;
    bucket.level = Math.min(Math.max(rate, 1), bucket.level + added);
    bucket.filledAtMs = nowMs;
    if (bucket.level > 0) return 0;
    return Math.max(MIN_RETRY_MS, (-bucket.level * MS_PER_SECOND) / rate);
  }

  private chargeRule(rule: RuleOf<'limit'>, tokens: number): void {
    const requests = this.buckets.get(`${rule.id}/requestsPerSecond`);
    if (requests !== undefined) requests.level -= 1;
    const generated = this.buckets.get(`${rule.id}/tokensPerSecond`);
    if (generated !== undefined) generated.level -= tokens;
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

function closeWindow(
  meter: CustomerMeter,
  passedMs: number,
  nowMs: number,
): void {
  const perSecond = MS_PER_SECOND / passedMs;
  const updateRate = (before: number, seen: number) =>
    before + DEMAND_SMOOTHING * (seen * perSecond - before);
  meter.requestsPerSecond = updateRate(
    meter.requestsPerSecond,
    meter.windowRequests,
  );
  meter.tokensPerSecond = updateRate(meter.tokensPerSecond, meter.windowTokens);
  meter.windowRequests = 0;
  meter.windowTokens = 0;
  meter.windowStartMs = nowMs;
}

/** A fresh peer that does not name the customer has no demand of it. */
function findPeerDemand(
  peer: readonly CustomerDemand[] | undefined,
  customer: string,
  field: DemandField,
): number | undefined {
  if (peer === undefined) return undefined;
  const found = peer.find(demand => demand.customer === customer);
  return found?.[field] ?? 0;
}
