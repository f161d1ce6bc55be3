/**
 * The policies that the benchmark compares: three baselines and the current
 * policy of the core, behind one interface.
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
import {AdmissionQueue as FirstLandedAdmissionQueue} from './fixtures/first_landed/admission_queue';
import {chooseEndpoint as chooseFirstLanded} from './fixtures/first_landed/choose_endpoint';

/** Chooses an endpoint for a request. */
export type TargetChooser = (
  request: RouteRequest,
  endpoints: readonly EndpointView[],
  random: RandomSource,
) => Result<EndpointView, ServiceError>;

/** Operations of an admission queue that the fake agent uses. */
export interface Admission {
  /** Queues work; returns the kind of error if it is refused. */
  offerWork(work: QueuedWork): ErrorKind | undefined;
  takeNext(): QueuedWork | undefined;
  /** Removes and returns waiting work whose deadline has passed. */
  takeExpired(nowMs: number): QueuedWork[];
  removeWaiting(requestId: string): boolean;
  releaseSlot(requestId: string): void;
  countWaiting(): number;
  countRunning(): number;
}

/** Further input of a routing policy, beside the request and endpoints. */
export interface RoutingContext {
  readonly nowMs: number;
  readonly expectedTokens: number;
}

/** Outcome of an attempt at an endpoint. */
export interface AttemptReport {
  readonly nowMs: number;
  readonly result: AttemptResult;
  readonly latencyMs: number;
  readonly expectedTokens: number;
}

/** Routing of one entry, with the state that it keeps between requests. */
export interface RoutingSession {
  chooseTarget(
    request: RouteRequest,
    endpoints: readonly EndpointView[],
    random: RandomSource,
    context: RoutingContext,
  ): Result<EndpointView, ServiceError>;
  recordEnd(endpoint: string, report: AttemptReport): void;
}

/** Routing, rollout scheduling and admission under one name. */
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

/** Routes with the core's chooser and its tracking of endpoints. */
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

/**
 * Adapts the first version of the queue, which reports only whether it has
 * room, to the `Admission` interface.
 */
function createFirstLandedAdmission(bounds: QueueBounds): Admission {
  const queue = FirstLandedAdmissionQueue.create(bounds);
  return {
    offerWork: work => (queue.offerWork(work) ? undefined : 'overloaded'),
    takeNext: () => queue.takeNext(),
    takeExpired: nowMs => queue.takeExpired(nowMs),
    removeWaiting: requestId => queue.removeWaiting(requestId),
    releaseSlot: requestId => queue.releaseSlot(requestId),
    countWaiting: () => queue.countWaiting(),
    countRunning: () => queue.countRunning(),
  };
}

/** The policies in the order of the report; the last is the current one. */
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
