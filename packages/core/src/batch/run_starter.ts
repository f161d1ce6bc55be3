/** Carries out planned starts: records the runs in the state of a coordinator, and
 * builds the orders to the agents. */
import type {BatchJob} from './batch_types';
import type {BatchEndpoints} from './batch_endpoints';
import type {ItemState} from './item_state';
import type {JobRegistry} from './job_registry';
import type {PlannedLeftover} from './leftover_plan';
import type {RunOrder} from './run_messages';
import type {PlannedStart} from './start_plan';

/** Priority of items at an endpoint: the middle of its scale. */
const ITEM_PRIORITY = 5;
/** Longest time of a run, in ms: a day. Messages can't state an infinite one. */
const MAX_RUN_MS = 86_400_000;

export interface RunStarterOptions {
  readonly jobs: JobRegistry;
  readonly endpoints: BatchEndpoints;
  /** Returns a unique run ID. */
  readonly createRunId: () => string;
}

/** A run that was just started. */
interface StartedRun {
  readonly runId: string;
  readonly endpointId: string;
  readonly job: BatchJob;
  readonly item: ItemState;
  /** Remaining time for the run, in ms. */
  readonly leftMs: number;
}

/** Starts runs of items. */
export class RunStarter {
  private constructor(private readonly options: RunStarterOptions) {}

  static create(options: RunStarterOptions): RunStarter {
    return new RunStarter(options);
  }

  /** Starts an item of an open job, which continues its text unless it is
   * obsolete at the endpoint. */
  startItem(start: PlannedStart, nowMs: number): RunOrder {
    const {job: state, item, endpointId, rank} = start;
    const {jobs, endpoints, createRunId} = this.options;
    const {job, acceptedAtMs} = state;
    const {id} = item.item;
    const runId = createRunId();
    const endpoint = endpoints.find(endpointId);
    const version = endpoint?.getVersion(job.model) ?? 0;
    const software = endpoint?.registration.software ?? '';
    state.clearMixedText(id, version, software);
    const minVersion = jobs.computeMinSurplusVersion(job);
    if (rank === 'spare' && version >= minVersion) {
      state.clearObsoleteText(id, minVersion);
    }
    const firstEvent = item.events.length;
    endpoints.releaseSlot(id);
    const run = {runId, endpointId, startedAtMs: nowMs, firstEvent};
    state.startRun(id, run, nowMs);
    endpoint?.trackRun(job.id, item, runId, nowMs);
    const leftMs = acceptedAtMs + this.findRetentionMs(job) - nowMs;
    return this.createOrder({runId, endpointId, job, item, leftMs});
  }

  /** Starts an item of an ended job. The run of its earlier text is stopped. */
  startLeftover(start: PlannedLeftover, nowMs: number): RunOrder {
    const {leftover, endpointId} = start;
    const {jobs, endpoints, createRunId} = this.options;
    const {job, item} = leftover;
    const itemId = item.item.id;
    const runId = createRunId();
    const run = {runId, endpointId, itemId};
    const replaced = jobs.startLeftover(leftover, run, nowMs);
    if (replaced !== undefined) {
      endpoints.stopRun(replaced.runId, replaced.endpointId);
    }
    endpoints.find(endpointId)?.trackRun(job.id, item, runId, nowMs);
    const leftMs = this.findRetentionMs(job);
    return this.createOrder({runId, endpointId, job, item, leftMs});
  }

  private findRetentionMs(job: BatchJob): number {
    return this.options.jobs.findBounds(job)?.retentionMs ?? Infinity;
  }

  private createOrder(run: StartedRun): RunOrder {
    const {runId, endpointId, job, item, leftMs} = run;
    const {id, path, headers, body} = item.item;
    const endpoint = this.options.endpoints.find(endpointId);
    return {
      runId,
      jobId: job.id,
      itemId: id,
      endpointId,
      software: endpoint?.registration.software ?? '',
      host: job.host,
      ...(job.customer === undefined ? {} : {customer: job.customer}),
      path,
      headers,
      body,
      prior: item.events.map(event => [event.data, event.version]),
      leftMs: Math.min(MAX_RUN_MS, Math.max(1, leftMs)),
      priority: ITEM_PRIORITY,
    };
  }
}
