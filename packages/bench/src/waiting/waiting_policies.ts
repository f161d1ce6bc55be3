/**
 * Policies for work that finds its own failure domain busy: wait there, or
 * spill to another over a costly link. The first six are those of "Modeling
 * and Analyzing Waiting Policies for Cloud-Enabled Schedulers"; the last is
 * this project's chooser.
 */
import {
  EndpointView,
  EndpointCandidate,
  RouteRequest,
  chooseEndpoint,
} from '@sassafrasspan/core';

const MAX_SHORT_WAIT_MS = 1_500;
const MAX_WAIT_MS = 3_000;
const MIN_LONG_RUN_MS = 6_000;
const OWN_DOMAIN = 'own';
const OTHER_DOMAIN = 'other';

/** Work and slots of one failure domain. */
export interface DomainLoad {
  readonly slots: number;
  /** Requests that run or wait. */
  readonly work: number;
}

/** What a policy knows when work arrives at a busy failure domain. */
export interface WaitingContext {
  readonly predictedWaitMs: number;
  readonly expectedRunMs: number;
  readonly own: DomainLoad;
  readonly other: DomainLoad;
}

/** How long work waits in its own failure domain; 0 to spill at once. */
export type WaitingPolicy = (view: WaitingContext) => number;

const isShortWait = (view: WaitingContext) =>
  view.predictedWaitMs <= MAX_SHORT_WAIT_MS;
const isLongJob = (view: WaitingContext) =>
  view.expectedRunMs >= MIN_LONG_RUN_MS;

/** Every policy by its name. */
export const WAITING_POLICIES: Readonly<Record<string, WaitingPolicy>> = {
  'all-wait': () => Infinity,
  'none-wait': () => 0,
  threshold: () => MAX_WAIT_MS,
  'short-waits': view => (isShortWait(view) ? Infinity : 0),
  'long-jobs': view => (isLongJob(view) ? Infinity : 0),
  compound: view => (isShortWait(view) || isLongJob(view) ? MAX_WAIT_MS : 0),
  current: view => (isOwnChosen(view) ? Infinity : 0),
};

/** Asks the product's chooser, with one endpoint for each domain. */
function isOwnChosen(view: WaitingContext): boolean {
  const request: RouteRequest = {
    service: 'lm',
    prefixKey: '',
    ownDomain: OWN_DOMAIN,
    placement: {allowed: undefined, spill: [OTHER_DOMAIN]},
    excluded: [],
    avoidDomain: undefined,
  };
  const candidates = [
    createCandidate(OWN_DOMAIN, view.own),
    createCandidate(OTHER_DOMAIN, view.other),
  ];
  const chosen = chooseEndpoint(request, candidates, () => 0);
  return chosen.isOk() && chosen.value.failureDomain === OWN_DOMAIN;
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
