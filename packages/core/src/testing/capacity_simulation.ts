/**
 * Replays calls at endpoints of different speeds without a network. Endpoints
 * share their speed among running calls beyond the knee. The policies are the
 * estimates, least outstanding, and an oracle that knows speeds and knees. Each
 * knows the calls in progress of its own sender alone.
 */
import {CapacityEstimator} from '../capacity/capacity_estimator';
import {CapacityPusher, CapacityHub} from '../capacity/capacity_exchange';
import type {EndpointEntry} from '../fleet/endpoint_directory';
import {EndpointSelector} from '../calls/endpoint_selector';
import {RandomSource, createRandomSource} from '../shared/clock';

const SLOTS = 6;
/** Mean work of a call at an endpoint of speed 1, in ms. */
const MEAN_WORK_MS = 25;
const MAX_WORK_FACTOR = 7;
const EXCHANGE_MS = 500;

/** One endpoint at a time. */
export interface SimulatedEndpoint {
  /** Time factor of a call at no load; undefined while it does not exist. */
  readonly slowness: (nowMs: number) => number | undefined;
  /** Knee as a share of the slots. */
  readonly kneeShare?: number;
  /** Changes with time as on a shared VM: reported in percent. */
  readonly stolen?: (nowMs: number) => number;
}

export type CapacityPolicy = 'estimate' | 'least-outstanding' | 'oracle';

export interface CapacityRun {
  readonly endpoints: readonly SimulatedEndpoint[];
  readonly perSecond: number;
  readonly durationMs: number;
  readonly seed: number;
  readonly senders?: number;
  readonly policy: CapacityPolicy;
  /** Whether senders exchange what they learn. */
  readonly isShared?: boolean;
}

export interface SimulatedCall {
  readonly atMs: number;
  readonly tookMs: number;
  readonly endpoint: number;
}

interface ActiveCall {
  readonly atMs: number;
  readonly sender: number;
  remainingMs: number;
}

interface Sender {
  readonly selector: EndpointSelector;
  readonly estimator: CapacityEstimator;
  readonly pusher: CapacityPusher;
}

/** Counts the changes that estimates have told. */
export interface CapacityResult {
  readonly calls: SimulatedCall[];
  readonly changes: number;
  readonly explored: number;
  readonly senders: readonly Sender[];
}

export function simulateCapacity(run: CapacityRun): CapacityResult {
  const arrivals = createRandomSource(run.seed);
  const work = createRandomSource(run.seed + 1_000);
  const choice = createRandomSource(run.seed + 2_000);
  const counts = {changes: 0, explored: 0};
  const hub = createHub(choice);
  const senders = Array.from({length: run.senders ?? 1}, () =>
    createSender(choice, counts),
  );
  const active: ActiveCall[][] = run.endpoints.map(() => []);
  const calls: SimulatedCall[] = [];
  let nextAtMs = 0;
  for (let nowMs = 0; nowMs < run.durationMs; nowMs++) {
    run.endpoints.forEach((endpoint, index) => {
      if (active[index].length === 0) return;
      for (const call of advanceEndpoint(endpoint, active[index], nowMs)) {
        const tookMs = nowMs - call.atMs;
        calls.push({atMs: call.atMs, tookMs, endpoint: index});
        const sender = senders[call.sender];
        const slowness = endpoint.stolen?.(nowMs);
        const running = Math.min(SLOTS, active[index].length + 1);
        const waiting = active[index].length + 1 - running;
        const load = {running, waiting, slots: SLOTS, slowness};
        sender.selector.recordEnd(`e${index}`, 'answered', tookMs, nowMs, load);
      }
    });
    while (nextAtMs <= nowMs) {
      nextAtMs += (-Math.log(1 - arrivals()) * 1_000) / run.perSecond;
      const sender = Math.floor(arrivals() * senders.length);
      const index = pickEndpoint(
        run,
        senders[sender],
        sender,
        active,
        nowMs,
        choice,
      );
      senders[sender].selector.recordStart(`e${index}`);
      active[index].push({atMs: nowMs, sender, remainingMs: drawWork(work)});
    }
    if (run.isShared) sendPushes(senders, hub, nowMs);
  }
  return {calls, ...counts, senders};
}

/** Returns a percentile of the times of calls that began in a period. */
export function computePercentile(
  result: Pick<CapacityResult, 'calls'>,
  share: number,
  fromMs: number,
  toMs = Infinity,
): number {
  const times = result.calls
    .filter(({atMs}) => atMs >= fromMs && atMs < toMs)
    .map(({tookMs}) => tookMs)
    .sort((a, b) => a - b);
  return times[Math.floor(times.length * share)] ?? NaN;
}

function createHub(random: RandomSource): CapacityHub {
  const estimator = CapacityEstimator.create({mode: 'on', random});
  return CapacityHub.create(estimator, 'hub');
}

function createSender(
  random: RandomSource,
  counts: {changes: number; explored: number},
): Sender {
  const estimator = CapacityEstimator.create({
    mode: 'on',
    random,
    onChanged: () => (counts.changes += 1),
    onExplored: () => (counts.explored += 1),
  });
  const pusher = CapacityPusher.create(estimator);
  const selector = EndpointSelector.create('a', random, pusher);
  return {selector, estimator, pusher};
}

function sendPushes(
  senders: readonly Sender[],
  hub: CapacityHub,
  nowMs: number,
): void {
  // Each sender exchanges at its own phase.
  for (let i = nowMs % EXCHANGE_MS; i < senders.length; i += EXCHANGE_MS) {
    const {pusher} = senders[i];
    const push = pusher.takePush(nowMs);
    pusher.acceptReply(hub.acceptPush(push, nowMs), nowMs);
  }
}

/** Draws work whose logarithm is normal, cut at 7 times the mean. */
function drawWork(random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  const normal = radius * Math.cos(2 * Math.PI * random());
  const factor = Math.exp(0.6 * normal - 0.18);
  return MEAN_WORK_MS * Math.min(MAX_WORK_FACTOR, factor);
}

function advanceEndpoint(
  endpoint: SimulatedEndpoint,
  active: ActiveCall[],
  nowMs: number,
): ActiveCall[] {
  const running = active.slice(0, SLOTS);
  const knee = Math.max(1, SLOTS * (endpoint.kneeShare ?? 1));
  const factor =
    (endpoint.slowness(nowMs) ?? 1) *
    (endpoint.stolen?.(nowMs) ?? 1) *
    Math.max(1, running.length / knee);
  const ended: ActiveCall[] = [];
  for (const call of running) {
    call.remainingMs -= 1 / factor;
    if (call.remainingMs > 0) continue;
    active.splice(active.indexOf(call), 1);
    ended.push(call);
  }
  return ended;
}

function pickEndpoint(
  run: CapacityRun,
  sender: Sender,
  own: number,
  active: readonly ActiveCall[][],
  nowMs: number,
  random: RandomSource,
): number {
  const existing = run.endpoints
    .map((endpoint, index) => ({endpoint, index}))
    .filter(({endpoint}) => endpoint.slowness(nowMs) !== undefined);
  if (run.policy === 'estimate') {
    const entries = existing.map(({index}) => createEntry(index));
    const chosen = sender.selector.choose(entries, new Set(), nowMs);
    return Number(chosen?.id.slice(1));
  }
  const costs = existing.map(({endpoint, index}) => {
    const load = active[index].filter(call => call.sender === own).length;
    const knee = Math.max(1, SLOTS * (endpoint.kneeShare ?? 1));
    const oracle =
      (endpoint.slowness(nowMs) ?? 1) * Math.max(1, (load + 1) / knee);
    const cost = run.policy === 'oracle' ? oracle : load + 1;
    return {index, cost: cost * (1 + random() / 50)};
  });
  costs.sort((a, b) => a.cost - b.cost);
  return costs[0].index;
}

function createEntry(index: number): EndpointEntry {
  return {
    id: `e${index}`,
    service: 's',
    software: 's',
    address: `e${index}:1`,
    failureDomain: 'a',
    slots: SLOTS,
    isDraining: false,
    coldRemainingMs: 0,
    startedAtMs: 0,
    versions: new Map(),
  };
}
