/**
 * Policies for work that arrives while its own failure domain is busy: wait
 * there, or spill to another over a costly link. The first six are from
 * "Modeling and Analyzing Waiting Policies for Cloud-Enabled Schedulers"; the
 * last is the chooser of the core.
 */
import {
  EndpointView,
  EndpointCandidate,
  RouteRequest,
  chooseEndpoint,
} from '@sassafrasspan/core';

const MAX_SHORT_WAIT_MS = 1_500;
const MAX_WAIT_MS = 3_000;
const MIN_LONG_EXECUTION_MS = 6_000;
const OWN_DOMAIN = 'own';
const OTHER_DOMAIN = 'other';

/** Work and slots of one failure domain. */
export interface DomainLoad {
  readonly slots: number;
  /** Number of requests that run or wait. */
  readonly work: number;
}

/** Input of a policy when work arrives at a busy failure domain. */
export interface WaitingContext {
  readonly predictedWaitMs: number;
  readonly expectedExecutionMs: number;
  readonly local: DomainLoad;
  readonly remote: DomainLoad;
}

/**
 * Returns how long work waits in its own failure domain before it spills, in
 * ms; 0 to spill at once, Infinity to never spill.
 */
export type WaitingPolicy = (context: WaitingContext) => number;

const isShortWait = (context: WaitingContext) =>
  context.predictedWaitMs <= MAX_SHORT_WAIT_MS;
const isLongJob = (context: WaitingContext) =>
  context.expectedExecutionMs >= MIN_LONG_EXECUTION_MS;

/** The policies by name. */
export const WAITING_POLICIES: Readonly<Record<string, WaitingPolicy>> = {
  'all-wait': () => Infinity,
  'none-wait': () => 0,
  threshold: () => MAX_WAIT_MS,
  'short-waits': context => (isShortWait(context) ? Infinity : 0),
  'long-jobs': context => (isLongJob(context) ? Infinity : 0),
  compound: context =>
    isShortWait(context) || isLongJob(context) ? MAX_WAIT_MS : 0,
  current: context => (isOwnChosen(context) ? Infinity : 0),
};

/**
 * Returns whether the core's chooser, given one endpoint per failure domain,
 * chooses the one in the own domain.
 */
function isOwnChosen(context: WaitingContext): boolean {
  const request: RouteRequest = {
    service: 'lm',
    prefixKey: '',
    ownDomain: OWN_DOMAIN,
    placement: {allowed: undefined, spill: [OTHER_DOMAIN]},
    excluded: [],
    avoidDomain: undefined,
  };
  const candidates = [
    createCandidate(OWN_DOMAIN, context.local),
    createCandidate(OTHER_DOMAIN, context.remote),
  ];
  const choice = chooseEndpoint(request, candidates, () => 0);
  return choice.isOk() && choice.value.failureDomain === OWN_DOMAIN;
}

function createCandidate(domain: string, load: DomainLoad): EndpointCandidate {
  const endpoint: EndpointView = {
    name: domain,
    service: 'lm',
    state: 'serving',
    running: Math.min(load.slots, load.work),
    queued: Math.max(0, load.work - load.slots),
    slots: load.slots,
    kvUsePermille: 0,
    weightVersion: 1,
    queuedTokens: 0,
    tokensPerSecond: 0,
    agent: domain,
    failureDomain: domain,
    incarnation: domain,
    tick: 0,
    outstanding: 0,
  };
  const {work} = load;
  return {endpoint, load: work, slowness: 1, warmUpFactor: 1, isEjected: false};
}
