/** Plans loads of weight versions for the endpoints of a coordinator. */
import type {AnnouncedVersion} from './job_registry';
import type {JobState} from './job_state';
import {VersionDemand, PlannedLoad, assignModels, planLoads} from './load_plan';
import type {BatchEndpoint} from './batch_endpoint';

/** State of a coordinator that is relevant for planning loads. */
export interface ModelLoadView {
  /** Newest announced version of each model. */
  readonly newestVersions: ReadonlyMap<string, AnnouncedVersion>;
  /** Number of items of the latest job of each model. */
  readonly workByModel: ReadonlyMap<string, number>;
  readonly jobs: readonly JobState[];
  readonly endpoints: readonly BatchEndpoint[];
  readonly nowMs: number;
}

/** Returns the loads to order now, and records them as pending at their
 * endpoints. */
export function planModelLoads(view: ModelLoadView): PlannedLoad[] {
  const demands = describeDemands(view);
  const usable = view.endpoints.filter(
    endpoint => endpoint.isAgentResponding && !endpoint.isLeaving(),
  );
  const ids = usable.map(endpoint => endpoint.registration.endpointId).sort();
  const shares = demands.map(({model}) => ({
    model,
    work: view.workByModel.get(model) ?? 1,
  }));
  const assigned = assignModels(shares, ids);
  const loads = planLoads(
    demands,
    usable.map(endpoint => ({
      id: endpoint.registration.endpointId,
      versions: new Map(
        demands.map(({model}) => [model, endpoint.getVersion(model)]),
      ),
      isBusy: endpoint.isLoading(),
      loadingModel: endpoint.pendingLoad?.model,
      runs: endpoint.runs.size,
      models: assigned.get(endpoint.registration.endpointId) ?? new Set(),
    })),
  );
  for (const {endpointId, model, version} of loads) {
    const endpoint = usable.find(
      ({registration}) => registration.endpointId === endpointId,
    );
    if (endpoint === undefined) continue;
    endpoint.pendingLoad = {model, version, orderedAtMs: view.nowMs};
  }
  return loads;
}

function describeDemands(view: ModelLoadView): VersionDemand[] {
  return [...view.newestVersions]
    .map(([model, {version, announcedAtMs}]) => ({
      model,
      newestVersion: version,
      sinceAnnouncedMs: view.nowMs - announcedAtMs,
      waitingItems: countWaitingItems(model, view.jobs),
      minVersion: Math.max(
        0,
        ...view.jobs
          .filter(state => state.job.model === model)
          .map(state => state.job.minVersion),
      ),
    }))
    .sort((a, b) => (a.model < b.model ? -1 : 1));
}

function countWaitingItems(model: string, jobs: readonly JobState[]): number {
  return jobs
    .filter(({job}) => job.model === model)
    .flatMap(({items}) => [...items.values()])
    .filter(({phase}) => phase === 'waiting').length;
}
