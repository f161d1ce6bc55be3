/**
 * Decides which waiting items start at which endpoints.
 *
 * Answers this load: a step of many groups, of which the trainer needs most
 * but not all, with lengths of a long tail, beside the steps before it. Items of
 * groups that the trainer will wait for come first: those carried over from an
 * earlier step, and as many others as are needed, expected to be whole earliest.
 * Among them goes first what must start earliest to be ready in time, so that
 * no long item begins when the others end.
 */
import {ItemState, JobState, GroupState, isSuspect} from './job_state';
import {predictRemainingTokens} from './length_forecast';
import {SLOWDOWN_PER_RUN} from './token_time_estimator';

/** Share of an endpoint's memory that the expected runs may fill. */
const MEMORY_SHARE = 0.95;

/** Time for a token that deadlines are planned with, in ms: a usual engine that
 * is full. */
const TYPICAL_MS_PER_TOKEN = 0.72;

/** An endpoint that runs items. */
export interface BatchEndpointView {
  readonly id: string;
  readonly slots: number;
  readonly memoryTokens: number;
  /** Weight version of each model. */
  readonly versions: ReadonlyMap<string, number>;
  /** Whether runs may be started there now. */
  readonly isOpen: boolean;
  /** Runs under way. */
  readonly runs: number;
  /** Tokens in memory when the runs under way have ended. */
  readonly expectedMemory: number;
  /** Time for a token of one run alone, in ms. */
  readonly msPerToken: number;
}

/** A job that may start items. */
export interface JobView {
  readonly state: JobState;
  /** Endpoints of the service that the job's route names. */
  readonly endpointIds: ReadonlySet<string>;
  readonly tokensPerEvent: number;
  /** Time from acceptance to the last result, in ms. */
  readonly runDeadlineMs: number;
  /**
   * Oldest version for items that the trainer will probably not wait for: a
   * later job that has them again can only use their text from there.
   */
  readonly minSurplusVersion: number;
  /** Tells whether a run is being broken off. */
  readonly isStopping: (runId: string, endpointId: string) => boolean;
}

/** A place kept for an item. */
export interface Reservation {
  readonly endpointId: string;
  readonly expiresAtMs: number;
}

/** What a plan of starts looks at. */
export interface StartView {
  readonly jobs: readonly JobView[];
  /** Endpoints; their runs include the places that are kept there. */
  readonly endpoints: readonly BatchEndpointView[];
  /** Ranks of the items that may start. */
  readonly ranks: readonly ItemRank[];
  /** Places that are kept, by item. */
  readonly reservations: ReadonlyMap<string, Reservation>;
  readonly nowMs: number;
}

/** One start. */
export interface PlannedStart {
  readonly job: JobState;
  readonly item: ItemState;
  readonly endpointId: string;
  readonly rank: ItemRank;
  /** Tokens that it is expected to still generate. */
  readonly remainingTokens: number;
  /** Time for a token of one run alone at the endpoint, in ms. */
  readonly msPerToken: number;
}

/** Why an item starts: its group is from an earlier step, is among those that
 * the trainer is expected to wait for, or is beyond them. */
export type ItemRank = 'carried' | 'wanted' | 'spare';

/** Urgency of a rank, the lowest first. */
const URGENCIES: Readonly<Record<ItemRank, number>> = {
  carried: 0,
  wanted: 1,
  spare: 2,
};

interface Candidate {
  readonly job: JobView;
  readonly item: ItemState;
  readonly rank: ItemRank;
  readonly remainingTokens: number;
  /** When it must start to be ready at the job's deadline. */
  readonly latestStartAtMs: number;
}

interface EndpointLoad {
  readonly view: BatchEndpointView;
  runs: number;
  memory: number;
}

/** Returns the starts that are possible now, the most urgent first. */
export function planStarts(view: StartView): PlannedStart[] {
  const loads = view.endpoints
    .filter(endpoint => endpoint.isOpen)
    .map(endpoint => ({
      view: endpoint,
      runs: endpoint.runs,
      memory: endpoint.expectedMemory,
    }));
  const hasFreeSlot = loads.some(load => load.runs < load.view.slots);
  if (!hasFreeSlot && view.reservations.size === 0) return [];
  const candidates = view.jobs
    .flatMap(job => listCandidates(job, view.nowMs))
    .filter(candidate => view.ranks.includes(candidate.rank));
  candidates.sort(compareCandidates);
  const starts: PlannedStart[] = [];
  for (const candidate of candidates) {
    const load =
      useReservation(candidate, loads, view) ??
      chooseEndpoint(candidate, loads);
    if (load === undefined) continue;
    load.runs += 1;
    load.memory += estimateMemoryTokens(candidate);
    starts.push({
      job: candidate.job.state,
      item: candidate.item,
      endpointId: load.view.id,
      rank: candidate.rank,
      remainingTokens: candidate.remainingTokens,
      msPerToken: load.view.msPerToken,
    });
  }
  return starts;
}

/** What must start earliest to be ready in time goes first. */
function compareCandidates(a: Candidate, b: Candidate): number {
  return (
    Number(a.rank === 'spare') - Number(b.rank === 'spare') ||
    a.latestStartAtMs - b.latestStartAtMs ||
    URGENCIES[a.rank] - URGENCIES[b.rank]
  );
}

function listCandidates(job: JobView, nowMs: number): Candidate[] {
  if (job.state.isEnded) return [];
  const wanted = selectWantedGroups(job);
  return job.state.groups.flatMap(group =>
    group.items
      .filter(
        item =>
          item.phase === 'waiting' &&
          item.retryAtMs <= nowMs &&
          !isSuspect(item),
      )
      .map(item => ({
        job,
        item,
        rank: rankGroup(group, wanted),
        ...predictItem(job, item),
      })),
  );
}

function predictItem(job: JobView, item: ItemState) {
  const remainingTokens = predictRemainingTokens(item, job.tokensPerEvent);
  const deadlineAtMs = job.state.acceptedAtMs + job.runDeadlineMs;
  const latestStartAtMs = deadlineAtMs - remainingTokens * TYPICAL_MS_PER_TOKEN;
  return {remainingTokens, latestStartAtMs};
}

function rankGroup(
  group: GroupState,
  wanted: ReadonlySet<GroupState>,
): ItemRank {
  if (group.isCarried) return 'carried';
  return wanted.has(group) ? 'wanted' : 'spare';
}

/** Selects the groups expected to be whole first, as many as are needed. */
export function selectWantedGroups(job: JobView): ReadonlySet<GroupState> {
  const {groups, job: described} = job.state;
  const others = groups
    .filter(group => !group.isCarried)
    .map(group => ({group, remaining: predictLongestRemaining(group, job)}))
    .sort((a, b) => a.remaining - b.remaining);
  const carried = groups.length - others.length;
  const needed = Math.max(0, described.desiredGroups - carried);
  return new Set(others.slice(0, needed).map(item => item.group));
}

function predictLongestRemaining(group: GroupState, job: JobView): number {
  let longest = 0;
  for (const item of group.items) {
    if (item.phase === 'listed' || item.phase === 'finished') continue;
    if (isSuspect(item)) return Infinity;
    const remaining = predictRemainingTokens(item, job.tokensPerEvent);
    longest = Math.max(longest, remaining);
  }
  return longest;
}

function estimateMemoryTokens(candidate: Candidate): number {
  const {item, job, remainingTokens: remaining} = candidate;
  const made = item.events.length * job.tokensPerEvent;
  return item.item.promptTokens + made + remaining;
}

/** Frees the place that is kept for an item, for it to take. */
function useReservation(
  candidate: Candidate,
  loads: readonly EndpointLoad[],
  view: StartView,
): EndpointLoad | undefined {
  const reservation = view.reservations.get(candidate.item.item.id);
  const load = loads.find(item => item.view.id === reservation?.endpointId);
  if (load === undefined) return undefined;
  load.runs -= 1;
  if (canRunItem(candidate.job, candidate.item, load.view)) return load;
  load.runs += 1;
  return undefined;
}

/** Chooses the endpoint where the item is expected to end first. */
function chooseEndpoint(
  candidate: Candidate,
  loads: readonly EndpointLoad[],
): EndpointLoad | undefined {
  const needed = estimateMemoryTokens(candidate);
  let best: EndpointLoad | undefined;
  let least = Infinity;
  for (const load of loads) {
    if (!canStart(candidate, load, needed)) continue;
    const crowding = 1 + SLOWDOWN_PER_RUN * load.runs;
    const cost = load.view.msPerToken * crowding;
    if (cost >= least) continue;
    least = cost;
    best = load;
  }
  return best;
}

/** Tells whether an endpoint may go on with an item, by service and version and
 * by what became of the item there. */
export function canRunItem(
  job: JobView,
  item: ItemState,
  endpoint: BatchEndpointView,
): boolean {
  // An item that would have to avoid every endpoint avoids none.
  const isAvoided =
    item.avoidedEndpoints.has(endpoint.id) &&
    item.avoidedEndpoints.size < job.endpointIds.size;
  if (!job.endpointIds.has(endpoint.id) || isAvoided) return false;
  const {model, minVersion} = job.state.job;
  const version = endpoint.versions.get(model) ?? 0;
  const newestText = item.events.at(-1)?.version ?? 0;
  return version >= Math.max(minVersion, newestText);
}

function canStart(
  {job, item, rank}: Candidate,
  load: EndpointLoad,
  needed: number,
): boolean {
  const {view} = load;
  if (load.runs >= view.slots || !canRunItem(job, item, view)) return false;
  const version = view.versions.get(job.state.job.model) ?? 0;
  if (rank === 'spare' && version < job.minSurplusVersion) return false;
  const limit = view.memoryTokens * MEMORY_SHARE;
  return load.runs === 0 || load.memory + needed <= limit;
}
