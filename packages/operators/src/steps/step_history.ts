/** Collects from log events what happened to each batch job and its items. */
import * as z from 'zod/mini';
import type {LogEvent} from './log_reader';

const FIELDS_SCHEMA = z.object({
  requestId: z._default(z.string(), ''),
  job: z._default(z.string(), ''),
  run: z._default(z.string(), ''),
  end: z._default(z.string(), ''),
  rank: z._default(z.string(), ''),
  kind: z._default(z.string(), ''),
  step: z._default(z.number(), 0),
  items: z._default(z.number(), 0),
  firstEvent: z._default(z.number(), 0),
  group: z._default(z.string(), ''),
  desiredGroups: z._default(z.number(), 0),
  events: z._default(z.number(), 0),
});

type EventFields = z.infer<typeof FIELDS_SCHEMA>;

/** A run of an item, as the coordinator started it. */
export interface RunRecord {
  readonly itemId: string;
  readonly startedAtMs: number;
  /** Number of events of the text before the run. */
  readonly firstEvent: number;
  readonly rank: string;
  endedAtMs: number | undefined;
  end: string;
  /** Number of events of the text at the end. */
  events: number;
}

/** A batch job from its acceptance to its end. */
export interface JobRecord {
  readonly id: string;
  readonly step: number;
  readonly items: number;
  /** Number of groups that the trainer waits for; 0 if the log does not tell. */
  readonly desiredGroups: number;
  readonly acceptedAtMs: number;
  endedAtMs: number | undefined;
  /** The group of each item that was started for the job, by item ID. */
  readonly groups: Map<string, string>;
  readonly scores: Array<{readonly itemId: string; readonly atMs: number}>;
  readonly listings: Array<{readonly atMs: number; readonly node: string}>;
}

/** A period, in Unix ms. */
export interface Period {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** What logs tell of batch jobs. */
export interface StepHistory {
  /** Jobs in order of acceptance. */
  readonly jobs: readonly JobRecord[];
  /** The runs of each item in order of their starts, by item ID. A job may use runs
   * that an earlier job with the item has started. */
  readonly runs: ReadonlyMap<string, readonly RunRecord[]>;
  /** Periods in which a node did not reach the store, by node. */
  readonly storeAway: ReadonlyMap<string, readonly Period[]>;
  /** Periods without a coordinator. */
  readonly coordinatorAway: readonly Period[];
}

class HistoryCollector {
  readonly jobs = new Map<string, JobRecord>();
  readonly runs = new Map<string, RunRecord[]>();
  readonly runsById = new Map<string, RunRecord>();
  readonly storeAway = new Map<string, Period[]>();
  readonly coordinatorAway: Period[] = [];
  /** Begin of each unfinished outage, by node and kind of object. */
  private readonly outages = new Map<string, number>();
  /** Time of the last event of each process. */
  private readonly lastEvents = new Map<string, number>();
  /** Process of the present coordinator; undefined before its claim. */
  private coordinator: string | undefined;
  /** Time at which it reported that it had lost the role. */
  private lostAtMs: number | undefined;

  handle(event: LogEvent): void {
    const parsed = FIELDS_SCHEMA.safeParse(event.fields);
    if (parsed.success) HANDLERS[event.name]?.(this, event, parsed.data);
    this.lastEvents.set(formatProcess(event), event.atMs);
  }

  startOutage({node, atMs}: LogEvent, kind: string): void {
    const key = `${node} ${kind}`;
    if (!this.outages.has(key)) this.outages.set(key, atMs);
  }

  endOutage({node, atMs}: LogEvent, kind: string): void {
    const key = `${node} ${kind}`;
    const fromMs = this.outages.get(key);
    this.outages.delete(key);
    if (fromMs === undefined) return;
    const periods = this.storeAway.get(node) ?? [];
    periods.push({fromMs, untilMs: atMs});
    this.storeAway.set(node, periods);
  }

  loseCoordinator(event: LogEvent): void {
    if (formatProcess(event) === this.coordinator) this.lostAtMs = event.atMs;
  }

  /** A coordinator that was killed logs no loss: its last event counts. */
  claimCoordinator(event: LogEvent): void {
    const lastEventAtMs = this.lastEvents.get(this.coordinator ?? '');
    const fromMs = this.lostAtMs ?? lastEventAtMs;
    this.coordinator = formatProcess(event);
    this.lostAtMs = undefined;
    if (fromMs === undefined) return;
    this.coordinatorAway.push({fromMs, untilMs: event.atMs});
  }
}

/** Names a process by its node and its ID, since nodes restart. */
function formatProcess({node, pid}: LogEvent): string {
  return `${node} ${pid}`;
}

type Handler = (
  collector: HistoryCollector,
  event: LogEvent,
  fields: EventFields,
) => void;

const HANDLERS: Readonly<Record<string, Handler | undefined>> = {
  'job-accepted': ({jobs}, {atMs}, fields) => {
    const {requestId: id, step, items, desiredGroups} = fields;
    if (jobs.has(id)) return;
    jobs.set(id, {
      ...{id, step, items, desiredGroups},
      ...{acceptedAtMs: atMs, endedAtMs: undefined},
      ...{groups: new Map(), scores: [], listings: []},
    });
  },
  'job-ended': ({jobs}, {atMs}, {requestId}) => {
    const job = jobs.get(requestId);
    if (job !== undefined) job.endedAtMs ??= atMs;
  },
  'item-started': ({jobs, runs, runsById}, {atMs}, fields) => {
    const {requestId: itemId, run, firstEvent, rank, group} = fields;
    const record: RunRecord = {
      ...{itemId, startedAtMs: atMs, firstEvent, rank},
      ...{endedAtMs: undefined, end: '', events: firstEvent},
    };
    runsById.set(run, record);
    const earlier = runs.get(itemId) ?? [];
    earlier.push(record);
    runs.set(itemId, earlier);
    jobs.get(fields.job)?.groups.set(itemId, group);
  },
  'run-ended': ({runsById}, {atMs}, {run, end, events}) => {
    const record = runsById.get(run);
    if (record === undefined) return;
    Object.assign(record, {endedAtMs: atMs, end, events});
  },
  'run-stopped': ({runsById}, {atMs}, {run, end}) => {
    const record = runsById.get(run);
    if (record !== undefined) Object.assign(record, {endedAtMs: atMs, end});
  },
  'item-scored': ({jobs}, {atMs}, {requestId: itemId, job}) => {
    jobs.get(job)?.scores.push({itemId, atMs});
  },
  'results-listed': ({jobs}, {atMs, node}, {requestId}) => {
    jobs.get(requestId)?.listings.push({atMs, node});
  },
  'platform-down': (collector, event, {kind}) => {
    collector.startOutage(event, kind);
  },
  'platform-up': (collector, event, {kind}) => {
    collector.endOutage(event, kind);
  },
  'home-lost': (collector, event) => collector.loseCoordinator(event),
  'home-claimed': (collector, event) => collector.claimCoordinator(event),
};

/** Collects the history of batch jobs from events in order of time. */
export function collectHistory(events: readonly LogEvent[]): StepHistory {
  const collector = new HistoryCollector();
  for (const event of events) collector.handle(event);
  const {jobs, runs, storeAway, coordinatorAway} = collector;
  return {jobs: [...jobs.values()], runs, storeAway, coordinatorAway};
}
