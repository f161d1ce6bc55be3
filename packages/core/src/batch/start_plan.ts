/**
 * Decides which waiting items start at which endpoints.
 *
 * Answers this load: a step of many groups, of which the trainer needs most
 * but not all, with lengths of a long tail. Groups carried over from an earlier
 * step come first, then the groups that are expected to be whole earliest, as
 * many as are needed, and last the rest; within each, the longest items first,
 * so that no long one begins when the others end.
 */
import {ItemState, JobState, GroupState, isSuspect} from './job_state';
import {predictRemainingTokens} from './length_forecast';

/** Share of an endpoint's memory that the expected runs may fill. */
const MEMORY_SHARE = 0.95;
/** Cost of a run beside others, as a share of a run alone. */
const CROWDING_COST = 0.007;

/** An endpoint that runs items. */
export interface RunnerView {
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
}

/** One start. */
export interface PlannedStart {
  readonly job: JobState;
  readonly item: ItemState;
  readonly endpointId: string;
}

/** Urgency of an item, the lowest first. */
const RANKS = {carried: 0, wanted: 1, spare: 2} as const;

interface Candidate {
  readonly job: JobView;
  readonly item: ItemState;
  readonly rank: number;
  readonly remaining: number;
}

interface RunnerLoad {
  readonly view: RunnerView;
  runs: number;
  memory: number;
}

/** Returns the starts that are possible now, the most urgent first. */
export function planStarts(
  jobs: readonly JobView[],
  runners: readonly RunnerView[],
  nowMs: number,
): PlannedStart[] {
  const loads = runners
    .filter(view => view.isOpen && view.runs < view.slots)
    .map(view => ({view, runs: view.runs, memory: view.expectedMemory}));
  if (loads.length === 0) return [];
  const candidates = jobs.flatMap(job => listCandidates(job, nowMs));
  candidates.sort(compareCandidates);
  const starts: PlannedStart[] = [];
  for (const candidate of candidates) {
    const load = chooseRunner(candidate, loads);
    if (load === undefined) continue;
    load.runs += 1;
    load.memory += countMemory(candidate);
    starts.push({
      job: candidate.job.state,
      item: candidate.item,
      endpointId: load.view.id,
    });
  }
  return starts;
}

function compareCandidates(a: Candidate, b: Candidate): number {
  return a.rank - b.rank || b.remaining - a.remaining;
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
        remaining: predictRemainingTokens(item, job.tokensPerEvent),
      })),
  );
}

function rankGroup(group: GroupState, wanted: ReadonlySet<GroupState>): number {
  if (group.isCarried) return RANKS.carried;
  return wanted.has(group) ? RANKS.wanted : RANKS.spare;
}

/** Selects the groups expected to be whole first, as many as are needed. */
export function selectWantedGroups(job: JobView): ReadonlySet<GroupState> {
  const {groups, job: described} = job.state;
  const others = groups
    .filter(group => !group.isCarried)
    .map(group => ({group, remaining: predictGroup(group, job)}))
    .sort((a, b) => a.remaining - b.remaining);
  const carried = groups.length - others.length;
  const needed = Math.max(0, described.desiredGroups - carried);
  return new Set(others.slice(0, needed).map(item => item.group));
}

function predictGroup(group: GroupState, job: JobView): number {
  let longest = 0;
  for (const item of group.items) {
    if (item.phase === 'listed' || item.phase === 'finished') continue;
    if (isSuspect(item)) return Infinity;
    const remaining = predictRemainingTokens(item, job.tokensPerEvent);
    longest = Math.max(longest, remaining);
  }
  return longest;
}

function countMemory(candidate: Candidate): number {
  const {item, job, remaining} = candidate;
  const made = item.events.length * job.tokensPerEvent;
  return item.item.promptTokens + made + remaining;
}

/** Chooses the endpoint where the item is expected to end first. */
function chooseRunner(
  candidate: Candidate,
  loads: readonly RunnerLoad[],
): RunnerLoad | undefined {
  const needed = countMemory(candidate);
  let best: RunnerLoad | undefined;
  let least = Infinity;
  for (const load of loads) {
    if (!canRun(candidate, load, needed)) continue;
    const crowding = 1 + CROWDING_COST * load.runs;
    const cost = load.view.msPerToken * crowding;
    if (cost >= least) continue;
    least = cost;
    best = load;
  }
  return best;
}

function canRun(
  {job, item}: Candidate,
  load: RunnerLoad,
  needed: number,
): boolean {
  const {view} = load;
  if (load.runs >= view.slots || !job.endpointIds.has(view.id)) return false;
  const {model, minVersion} = job.state.job;
  const version = view.versions.get(model) ?? 0;
  const newestText = item.events.at(-1)?.version ?? 0;
  if (version < Math.max(minVersion, newestText)) return false;
  const limit = view.memoryTokens * MEMORY_SHARE;
  return load.runs === 0 || load.memory + needed <= limit;
}
