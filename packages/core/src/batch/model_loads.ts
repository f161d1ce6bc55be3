/** Applies the plan of loads to the endpoints of a home. */
import type {NamedVersion} from './job_book';
import type {JobState} from './job_state';
import {ModelDemand, PlannedLoad, assignModels, planLoads} from './load_plan';
import type {RunnerState} from './runner_state';

/** What the plan looks at. */
export interface ModelLoadView {
  /** Newest version of each model. */
  readonly newest: ReadonlyMap<string, NamedVersion>;
  /** Items of the last job of each model. */
  readonly work: ReadonlyMap<string, number>;
  readonly jobs: readonly JobState[];
  readonly runners: readonly RunnerState[];
  readonly nowMs: number;
}

/** Returns the orders to load that are due, and notes them. */
export function planModelLoads(view: ModelLoadView): PlannedLoad[] {
  const demands = describeDemands(view);
  const usable = view.runners.filter(
    runner => runner.isLinked && !runner.registration.isDraining,
  );
  const ids = usable.map(runner => runner.registration.endpointId).sort();
  const shares = demands.map(({model}) => ({
    model,
    work: view.work.get(model) ?? 1,
  }));
  const assigned = assignModels(shares, ids);
  const loads = planLoads(
    demands,
    usable.map(runner => ({
      id: runner.registration.endpointId,
      versions: new Map(
        demands.map(({model}) => [model, runner.getVersion(model)]),
      ),
      isBusy: runner.isLoading(),
      runs: runner.runs.size,
      models: assigned.get(runner.registration.endpointId) ?? new Set(),
    })),
  );
  for (const {endpointId, model, version} of loads) {
    const runner = usable.find(
      item => item.registration.endpointId === endpointId,
    );
    if (runner === undefined) continue;
    runner.pendingLoad = {model, version, orderedAtMs: view.nowMs};
  }
  return loads;
}

function describeDemands(view: ModelLoadView): ModelDemand[] {
  return [...view.newest]
    .map(([model, {version, atMs}]) => ({
      model,
      newest: version,
      sinceNamedMs: view.nowMs - atMs,
      minVersion: Math.max(
        0,
        ...view.jobs
          .filter(state => state.job.model === model)
          .map(state => state.job.minVersion),
      ),
    }))
    .sort((a, b) => (a.model < b.model ? -1 : 1));
}
