/**
 * The policies that the benchmark compares: three baselines and the current
 * decisions of the core, behind one interface.
 */
import {
  AdmissionQueue,
  AttemptResult,
  Clock,
  EndpointTracker,
  EndpointView,
  ErrorKind,
  QueueBounds,
  QueuedWork,
  ROLLOUT_POLICIES,
  RandomSource,
  RolloutPolicy,
  RouteRequest,
  ServiceError,
  chooseEndpoint,
  createError,
} from '@sassafrasspan/core';
import {Result, err, ok} from 'neverthrow';
import {AdmissionQueue as FirstAdmissionQueue} from './fixtures/first_landed/admission_queue';
import {chooseEndpoint as chooseFirstLanded} from './fixtures/first_landed/choose_endpoint';

/** Chooses an endpoint for a request. */
export type TargetChooser = (
  request: RouteRequest,
  endpoints: readonly EndpointView[],
  random: RandomSource,
) => Result<EndpointView, ServiceError>;

/** What the fake agent needs of an admission queue. */
export interface Admission {
  /** Queues work, or returns why not. */
  offerWork(work: QueuedWork): ErrorKind | undefined;
  takeNext(): QueuedWork | undefined;
  takeExpired(tick: number): QueuedWork[];
  removeWaiting(requestId: string): boolean;
  releaseSlot(requestId: string): void;
  countWaiting(): number;
  countRunning(): number;
}

/** What a routing policy may know beyond the request and the endpoints. */
export interface RoutingContext {
  readonly nowMs: number;
  readonly expectedTokens: number;
}

/** How an attempt at an endpoint ended. */
export interface AttemptReport {
  readonly nowMs: number;
  readonly result: AttemptResult;
  readonly latencyMs: number;
  readonly expectedTokens: number;
}

/** Routing of one entry, with what it remembers. */
export interface RoutingSession {
  chooseTarget(
    request: RouteRequest,
    endpoints: readonly EndpointView[],
    random: RandomSource,
    context: RoutingContext,
  ): Result<EndpointView, ServiceError>;
  recordEnd(endpoint: string, report: AttemptReport): void;
}

/** One policy of the comparison. */
export interface Policy {
  readonly name: string;
  readonly createRouting: () => RoutingSession;
  readonly rollout: RolloutPolicy;
  readonly createAdmission: (bounds: QueueBounds, clock: Clock) => Admission;
}

function listAllowed(
  request: RouteRequest,
  endpoints: readonly EndpointView[],
): EndpointView[] {
  return endpoints.filter(
    endpoint =>
      !request.excluded.includes(endpoint.name) &&
      endpoint.failureDomain !== request.avoidDomain,
  );
}

function pickEndpoint(
  endpoints: readonly EndpointView[],
  random: RandomSource,
): Result<EndpointView, ServiceError> {
  const picked = endpoints[Math.floor(random() * endpoints.length)];
  if (picked !== undefined) return ok(picked);
  return err(createError('no-endpoint', 'no endpoint takes work'));
}

const chooseRandom: TargetChooser = (request, endpoints, random) =>
  pickEndpoint(listAllowed(request, endpoints), random);

const chooseLeastOutstanding: TargetChooser = (request, endpoints, random) => {
  const allowed = listAllowed(request, endpoints);
  const least = Math.min(...allowed.map(endpoint => endpoint.outstanding));
  const ties = allowed.filter(endpoint => endpoint.outstanding === least);
  return pickEndpoint(ties, random);
};

function createStatelessRouting(choose: TargetChooser): RoutingSession {
  return {
    chooseTarget: choose,
    recordEnd: () => undefined,
  };
}

/** Routes by the decisions of the core. */
function createCurrentRouting(): RoutingSession {
  const tracker = EndpointTracker.create();
  return {
    chooseTarget: (request, endpoints, random, {nowMs}) => {
      const candidates = tracker.createCandidates(endpoints, nowMs);
      return chooseEndpoint(request, candidates, random);
    },
    recordEnd: (endpoint, report) =>
      tracker.recordEnd(
        endpoint,
        report.result,
        report.latencyMs / report.expectedTokens,
        report.nowMs,
      ),
  };
}

/** Adapts a queue that only tells whether it has room. */
function createFirstLandedAdmission(bounds: QueueBounds): Admission {
  const queue = FirstAdmissionQueue.create(bounds);
  return {
    offerWork: work => (queue.offerWork(work) ? undefined : 'overloaded'),
    takeNext: () => queue.takeNext(),
    takeExpired: tick => queue.takeExpired(tick),
    removeWaiting: requestId => queue.removeWaiting(requestId),
    releaseSlot: requestId => queue.releaseSlot(requestId),
    countWaiting: () => queue.countWaiting(),
    countRunning: () => queue.countRunning(),
  };
}

/** The policies by the order of the report; the last is the current one. */
export const POLICIES: readonly Policy[] = [
  {
    name: 'random',
    createRouting: () => createStatelessRouting(chooseRandom),
    rollout: ROLLOUT_POLICIES.fifo,
    createAdmission: createFirstLandedAdmission,
  },
  {
    name: 'least-outstanding',
    createRouting: () => createStatelessRouting(chooseLeastOutstanding),
    rollout: ROLLOUT_POLICIES.fifo,
    createAdmission: createFirstLandedAdmission,
  },
  {
    name: 'first-landed',
    createRouting: () => createStatelessRouting(chooseFirstLanded),
    rollout: ROLLOUT_POLICIES.fifo,
    createAdmission: createFirstLandedAdmission,
  },
  {
    name: 'current',
    createRouting: createCurrentRouting,
    rollout: ROLLOUT_POLICIES.current,
    createAdmission: (bounds, clock) => AdmissionQueue.create(bounds, clock),
  },
];
