/**
 * Decides which runs of surplus groups begin again with newer weights.
 *
 * Designed for this load: a trainer submits the groups that a step left
 * incomplete again in a later step, which always waits for them and does not
 * allow the versions of this step. A long text of such a group is useless at its
 * end, and the later step takes as long as that text. Once an endpoint has a
 * version that the later step will allow, the text begins again there, so that
 * much of it is there when the later step arrives.
 */
import {predictRemainingTokens} from './length_forecast';
import {
  BatchEndpointView,
  JobView,
  predictLongestRemaining,
  selectWantedGroups,
} from './start_plan';
import type {GroupState} from './job_state';
import {ItemState, isObsolete} from './item_state';

/** Share of an endpoint's slots that must stay free for items that a trainer
 * waits for. */
const FREE_SHARE = 0.5;
/** Minimum number of tokens that a text is expected to lack beyond those of the
 * groups that the trainer waits for: one that is complete sooner may still be
 * used in this step. */
const MIN_LEAD_TOKENS = 600;

/** A run to stop, and the endpoint where its item begins again. */
export interface PlannedRestart {
  readonly job: JobView;
  readonly item: ItemState;
  readonly targetId: string;
}

/** Returns the runs that begin again, the longest texts first. */
export function planRestarts(
  jobs: readonly JobView[],
  endpoints: readonly BatchEndpointView[],
): PlannedRestart[] {
  const runs = new Map(endpoints.map(({id, runs: count}) => [id, count]));
  const restarts: PlannedRestart[] = [];
  for (const job of jobs) {
    const fresh = endpoints.filter(endpoint => isFresh(job, endpoint));
    if (fresh.length === 0) continue;
    for (const item of listObsoleteRuns(job)) {
      const target = findFreest(fresh, runs);
      if (target === undefined) break;
      runs.set(target.id, (runs.get(target.id) ?? 0) + 1);
      restarts.push({job, item, targetId: target.id});
    }
  }
  return restarts;
}

/** Returns whether an endpoint has weights that a later job will allow. */
function isFresh(job: JobView, endpoint: BatchEndpointView): boolean {
  const {model} = job.state.job;
  const version = endpoint.versions.get(model) ?? 0;
  return (
    endpoint.isOpen &&
    endpoint.startsLeft >= 1 &&
    endpoint.loadingModel !== model &&
    job.endpointIds.has(endpoint.id) &&
    version >= job.minSurplusVersion
  );
}

function listObsoleteRuns(job: JobView): ItemState[] {
  const wanted = selectWantedGroups(job);
  const isAwaited = (group: GroupState) => group.isCarried || wanted.has(group);
  const longestAwaited = Math.max(
    0,
    ...job.state.groups
      .filter(isAwaited)
      .map(group => predictLongestRemaining(group, job)),
  );
  return job.state.groups
    .filter(group => !isAwaited(group))
    .flatMap(group => group.items)
    .filter(item => {
      const {phase, run} = item;
      if (phase !== 'running' || run === undefined) return false;
      if (job.isStopping(run.runId, run.endpointId)) return false;
      const remaining = predictRemainingTokens(item, job.tokensPerEvent);
      return (
        isObsolete(item, job.minSurplusVersion) &&
        remaining >= longestAwaited + MIN_LEAD_TOKENS
      );
    })
    .sort((a, b) => b.events.length - a.events.length);
}

function findFreest(
  endpoints: readonly BatchEndpointView[],
  runs: ReadonlyMap<string, number>,
): BatchEndpointView | undefined {
  let best: BatchEndpointView | undefined;
  let fewest = Infinity;
  for (const endpoint of endpoints) {
    const count = runs.get(endpoint.id) ?? 0;
    const limit = endpoint.slots * (1 - FREE_SHARE);
    if (count >= limit || count >= fewest) continue;
    fewest = count;
    best = endpoint;
  }
  return best;
}
