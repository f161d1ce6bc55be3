/**
 * Decides which waiting items start at which endpoints.
 *
 * Designed for this load: a step with many groups, of which the trainer needs
 * most but not all, whose text lengths have a long tail, and which overlaps with
 * earlier steps. Items of groups that the trainer will wait for start first:
 * groups carried over from an earlier step, and as many others as are needed,
 * those expected to be complete earliest. All other items are surplus ("spare"
 * in logs). Among the items that the trainer waits for, the one that must start
 * earliest to meet its deadline starts first, so that no long item starts only
 * when the others end.
 */
import {ItemState, isObsolete} from './item_state';
import {JobState, GroupState} from './job_state';
import {predictMemory, predictRemainingTokens} from './length_forecast';
import {RunMemory, computePeakMemory} from './memory_forecast';
import {SLOWDOWN_PER_RUN} from './token_time_estimator';

/** Share of an endpoint's memory that its runs may be expected to use; the rest
 * covers the error of the forecast. */
const MEMORY_SHARE = 0.9;

/** Token time assumed when planning for deadlines, in ms: that of a typical
 * engine with all slots in use. */
export const TYPICAL_MS_PER_TOKEN = 0.72;

/** State of a batch endpoint that is relevant for planning. */
export interface BatchEndpointView {
  readonly id: string;
  /** Version of its software. */
  readonly software: string;
  readonly slots: number;
  readonly memoryTokens: number;
  /** Present weight version of each model. */
  readonly versions: ReadonlyMap<string, number>;
  /** Whether new runs may start there now. */
  readonly isOpen: boolean;
  /** Model whose weights it loads, of which no run starts there meanwhile. */
  readonly loadingModel: string | undefined;
  /** Active runs and reserved slots. */
  readonly runs: number;
  /** Memory of each active run. */
  readonly memory: readonly RunMemory[];
  /** Number of runs that may start now under the limit that the engine states;
   * Infinity if it states none. */
  readonly startsLeft: number;
  /** Limit that the engine states, in runs a second; Infinity if it states none. */
  readonly startsPerSecond: number;
  /** Time per token of a run without concurrent runs, in ms. */
  readonly msPerToken: number;
}

/** Versions of an engine, as far as a job is concerned. */
export interface EngineVersions {
  readonly software: string;
  /** Version of the weights of the job's model. */
  readonly weights: number;
}

/** An open job and what its route and its endpoints determine. */
export interface JobView {
  readonly state: JobState;
  /** Endpoints of the service that the job's route refers to. */
  readonly endpointIds: ReadonlySet<string>;
  /** Versions of those of them that can run items. */
  readonly available: readonly EngineVersions[];
  readonly tokensPerEvent: number;
  /** Time from acceptance to the deadline of the last result, in ms. */
  readonly runDeadlineMs: number;
  /**
   * Minimum version for surplus items, which the trainer will probably not wait
   * for: a later job with the same items can only reuse texts from this version
   * on.
   */
  readonly minSurplusVersion: number;
  /** Whether later jobs with the same items may allow the texts of this one. */
  readonly canReuseTexts: boolean;
  /** Returns whether a run is being stopped, or is not tracked any more. */
  readonly isStopping: (runId: string, endpointId: string) => boolean;
}

/** A slot of an endpoint that is reserved for an item. */
export interface Reservation {
  readonly endpointId: string;
  readonly expiresAtMs: number;
}

/** Input of a plan of starts. */
export interface StartView {
  readonly jobs: readonly JobView[];
  /** Endpoints, whose numbers of runs include reserved slots. */
  readonly endpoints: readonly BatchEndpointView[];
  /** Ranks of items that may start. */
  readonly ranks: readonly ItemRank[];
  /** Reservations by item ID. */
  readonly reservations: ReadonlyMap<string, Reservation>;
  readonly nowMs: number;
  /** Positions of the groups that start before others when capacity is short;
   * undefined when it suffices. */
  readonly order?: ReadonlyMap<GroupState, number>;
}

/** An item to start at an endpoint. */
export interface PlannedStart {
  readonly job: JobState;
  readonly item: ItemState;
  readonly endpointId: string;
  readonly rank: ItemRank;
  /** Number of tokens that the item is expected to generate. */
  readonly remainingTokens: number;
  /** Time per token at the endpoint of a run without concurrent runs, in ms. */
  readonly msPerToken: number;
}

/** Rank of an item: its group is carried over from an earlier step, is one of
 * those that the trainer is expected to wait for, or is surplus ("spare"). */
export type ItemRank = 'carried' | 'wanted' | 'spare';

/** Order of ranks; the lowest starts first. */
const URGENCIES: Readonly<Record<ItemRank, number>> = {
  carried: 0,
  wanted: 1,
  spare: 2,
};

/** A waiting item that may start. */
interface Candidate {
  readonly job: JobView;
  readonly item: ItemState;
  readonly rank: ItemRank;
  readonly remainingTokens: number;
  /** Latest time of a start that is expected to meet the job's deadline. */
  readonly latestStartAtMs: number;
  /** Position of its group; the same for all groups that have none. */
  readonly order: number;
}

/** An endpoint with the runs and the memory in use, including planned starts. */
interface EndpointLoad {
  readonly endpoint: BatchEndpointView;
  runs: number;
  startsLeft: number;
  readonly memory: RunMemory[];
}

/** Returns the starts that are possible now, in order of urgency. */
export function planStarts(view: StartView): PlannedStart[] {
  const loads = view.endpoints
    .filter(endpoint => endpoint.isOpen)
    .map(endpoint => ({
      endpoint,
      runs: endpoint.runs,
      startsLeft: endpoint.startsLeft,
      memory: [...endpoint.memory],
    }));
  const hasFreeSlot = loads.some(load => load.runs < load.endpoint.slots);
  if (!hasFreeSlot && view.reservations.size === 0) return [];
  const candidates = view.jobs
    .flatMap(job => listCandidates(job, view))
    .filter(candidate => view.ranks.includes(candidate.rank));
  candidates.sort(compareCandidates);
  const starts: PlannedStart[] = [];
  for (const candidate of candidates) {
    const load =
      useReservation(candidate, loads, view) ??
      chooseEndpoint(candidate, loads);
    if (load === undefined) continue;
    load.runs += 1;
    load.startsLeft -= 1;
    load.memory.push(predictCandidateMemory(candidate));
    starts.push({
      job: candidate.job.state,
      item: candidate.item,
      endpointId: load.endpoint.id,
      rank: candidate.rank,
      remainingTokens: candidate.remainingTokens,
      msPerToken: load.endpoint.msPerToken,
    });
  }
  return starts;
}

/** Orders items by the position of their group when capacity is short, and else
 * surplus items last and the others by their latest start. */
function compareCandidates(a: Candidate, b: Candidate): number {
  return (
    a.order - b.order ||
    Number(a.rank === 'spare') - Number(b.rank === 'spare') ||
    a.latestStartAtMs - b.latestStartAtMs ||
    URGENCIES[a.rank] - URGENCIES[b.rank]
  );
}

function listCandidates(job: JobView, view: StartView): Candidate[] {
  const {order, nowMs} = view;
  if (job.state.isEnded) return [];
  const wanted = selectWantedGroups(job);
  return job.state.groups.flatMap(group =>
    group.items
      .filter(item => item.phase === 'waiting' && !item.isHeld)
      .filter(item => item.retryAtMs <= nowMs)
      .map(item => ({
        job,
        item,
        rank: order?.has(group) ? rankChosen(group) : rankGroup(group, wanted),
        order: order?.get(group) ?? Number.MAX_SAFE_INTEGER,
        ...predictItem(job, item),
      })),
  );
}

/** Returns the rank of the items of a group that was chosen while capacity is
 * short. */
function rankChosen(group: GroupState): ItemRank {
  return group.isCarried ? 'carried' : 'wanted';
}

function predictItem(job: JobView, item: ItemState) {
  const remainingTokens = predictRemainingTokens(item, job.tokensPerEvent);
  const deadlineAtMs = job.state.acceptedAtMs + job.runDeadlineMs;
  const latestStartAtMs = deadlineAtMs - remainingTokens * TYPICAL_MS_PER_TOKEN;
  return {remainingTokens, latestStartAtMs};
}

/** Returns the rank of the items of a group. */
export function rankGroup(
  group: GroupState,
  wanted: ReadonlySet<GroupState>,
): ItemRank {
  if (group.isCarried) return 'carried';
  return wanted.has(group) ? 'wanted' : 'spare';
}

/** Selects the groups, apart from those carried over, that are expected to be
 * complete earliest: as many as the trainer needs. */
export function selectWantedGroups(job: JobView): ReadonlySet<GroupState> {
  const {groups, job: batchJob} = job.state;
  const others = groups
    .filter(group => !group.isCarried)
    .map(group => ({group, remaining: predictLongestRemaining(group, job)}))
    .sort((a, b) => a.remaining - b.remaining);
  const carried = groups.length - others.length;
  const needed = Math.max(0, batchJob.desiredGroups - carried);
  return new Set(others.slice(0, needed).map(({group}) => group));
}

/** Returns the number of tokens that the longest unfinished text of a group is
 * expected to lack; 0 if all texts are complete. */
export function predictLongestRemaining(
  group: GroupState,
  job: JobView,
): number {
  let longest = 0;
  for (const item of group.items) {
    if (item.phase !== 'waiting' && item.phase !== 'running') continue;
    const remaining = predictRemainingTokens(item, job.tokensPerEvent);
    longest = Math.max(longest, remaining);
  }
  return longest;
}

function predictCandidateMemory({item, job}: Candidate): RunMemory {
  return predictMemory(item, job.tokensPerEvent);
}

/** Frees the slot that is reserved for an item if the item can run there. */
function useReservation(
  candidate: Candidate,
  loads: readonly EndpointLoad[],
  view: StartView,
): EndpointLoad | undefined {
  const reservation = view.reservations.get(candidate.item.item.id);
  const load = loads.find(
    ({endpoint}) => endpoint.id === reservation?.endpointId,
  );
  if (load === undefined) return undefined;
  if (load.startsLeft < 1) return undefined;
  load.runs -= 1;
  const {job, item, rank} = candidate;
  if (canRunItem(job, item, load.endpoint, rank)) return load;
  load.runs += 1;
  return undefined;
}

/** Chooses the endpoint where the item is expected to end first. */
function chooseEndpoint(
  candidate: Candidate,
  loads: readonly EndpointLoad[],
): EndpointLoad | undefined {
  const needed = predictCandidateMemory(candidate);
  let best: EndpointLoad | undefined;
  let lowestCost = Infinity;
  for (const load of loads) {
    if (!canStart(candidate, load, needed)) continue;
    const slowdown = 1 + SLOWDOWN_PER_RUN * load.runs;
    const cost = load.endpoint.msPerToken * slowdown;
    if (cost >= lowestCost) continue;
    lowestCost = cost;
    best = load;
  }
  return best;
}

/** Returns whether an endpoint may run an item, judging by its service, its
 * software, its weights, and earlier runs of the item there. A surplus item with
 * an obsolete text begins again, so that it may run at any software. */
export function canRunItem(
  job: JobView,
  item: ItemState,
  endpoint: BatchEndpointView,
  rank?: ItemRank,
): boolean {
  const beginsAgain =
    rank === 'spare' && isObsolete(item, job.minSurplusVersion);
  const software = item.events.at(-1)?.software ?? endpoint.software;
  if (software !== endpoint.software && !beginsAgain) return false;
  // An item that would have to avoid all endpoints avoids none.
  const isAvoided =
    item.avoidedEndpoints.has(endpoint.id) &&
    item.avoidedEndpoints.size < job.endpointIds.size;
  if (!job.endpointIds.has(endpoint.id) || isAvoided) return false;
  const {model, minVersion} = job.state.job;
  if (endpoint.loadingModel === model) return false;
  const version = getModelVersion(endpoint, model);
  const lastEventVersion = item.events.at(-1)?.version ?? 0;
  return version >= Math.max(minVersion, lastEventVersion);
}

/** Returns the weight version of a model at an endpoint; 0 if it has none. */
export function getModelVersion(
  endpoint: BatchEndpointView,
  model: string,
): number {
  return endpoint.versions.get(model) ?? 0;
}

function canStart(
  {job, item, rank}: Candidate,
  load: EndpointLoad,
  needed: RunMemory,
): boolean {
  const {endpoint} = load;
  const hasFreeSlot = load.runs < endpoint.slots && load.startsLeft >= 1;
  if (!hasFreeSlot || !canRunItem(job, item, endpoint, rank)) return false;
  const version = getModelVersion(endpoint, job.state.job.model);
  if (rank === 'spare' && version < job.minSurplusVersion) return false;
  const limit = endpoint.memoryTokens * MEMORY_SHARE;
  if (load.runs === 0) return true;
  return computePeakMemory([...load.memory, needed]) <= limit;
}
