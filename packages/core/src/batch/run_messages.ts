/**
 * Messages between the coordinator of batch jobs (`home` on the wire and in
 * settings) and the agents that run items.
 *
 * A coordinator polls each agent with consecutive `sync` calls. An answer contains
 * the updates since the answer that the call acknowledges. A coordinator with a
 * later epoch receives every run with its complete text, so that it can continue
 * the work of the previous one.
 */
import * as z from 'zod/mini';
import {selectEntries} from '../shared/message_entries';
import type {TextEvent} from './batch_types';

/** Schema of an event: its data and its weight version. A tuple keeps the most
 * frequent message short. */
export const EVENT_SCHEMA = z.tuple([z.string(), z.number()]);

/** Schema of an order to run an item. */
export const RUN_ORDER_SCHEMA = z.object({
  runId: z.string(),
  jobId: z.string(),
  itemId: z.string(),
  /** Endpoint that must run the item; another endpoint at its address rejects
   * the order. */
  endpointId: z.string(),
  /** Version of the endpoint's software. */
  software: z._default(z.string(), ''),
  host: z.string(),
  /** Customer that submitted the job, if any. */
  customer: z.optional(z.string()),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  body: z.string(),
  /** Existing text, which the run continues. */
  prior: z.array(EVENT_SCHEMA),
  /** Remaining time for the run, in ms. */
  leftMs: z.number(),
  /** Priority at the endpoint; 0 is the most urgent. */
  priority: z.number(),
});

/** Schema of an order to load a weight version. */
export const LOAD_ORDER_SCHEMA = z.object({
  endpointId: z.string(),
  model: z.string(),
  version: z.number(),
  /** Epoch of the ordering coordinator, assigned by the store. */
  fencingNumber: z.number(),
  /** Whether active runs finish with the previous version before the load;
   * otherwise they continue with the new one. */
  finishesRuns: z.boolean(),
});

/** Schema of the orders of a coordinator to an agent. */
export const AGENT_COMMANDS_SCHEMA = z.object({
  home: z.string(),
  epoch: z.number(),
  /** Agent time that the coordinator last received; commands with an old one are
   * ignored. */
  tick: z.number(),
  starts: z.array(RUN_ORDER_SCHEMA),
  /** IDs of the runs to stop. */
  stops: z.array(z.string()),
  loads: z.array(LOAD_ORDER_SCHEMA),
});

/** Schema of a `sync` call. */
export const SYNC_CALL_SCHEMA = z.object({
  home: z.string(),
  epoch: z.number(),
  /** The coordinator's monotonic clock when it made the call, in ms: of calls that
   * overtake each other, the agent answers the latest. Absent from nodes with
   * earlier software. */
  madeAtMs: z.optional(z.number()),
  /** Number of the last answer that was received; 0 for none. */
  after: z.number(),
  /** IDs of the runs whose results are stored, which the agent may remove. */
  releases: z.array(z.string()),
  /** Maximum time for which the agent may delay its answer, in ms. */
  waitMs: z.number(),
  /** Whether the coordinator has no state of the agent's runs, or has discarded
   * it. */
  isAnew: z.boolean(),
});

/** Decodes events of a text that one software version generates. */
export function decodeEvents(
  events: ReadonlyArray<z.infer<typeof EVENT_SCHEMA>>,
  software: string,
): TextEvent[] {
  return events.map(([data, version]) => ({data, version, software}));
}

/** Schema of an update of a run. */
export const RUN_UPDATE_SCHEMA = z.object({
  runId: z.string(),
  jobId: z.string(),
  itemId: z.string(),
  endpointId: z.string(),
  /** Version of the software that generates the text. */
  software: z._default(z.string(), ''),
  /** Number of events of the text before the run. */
  firstEvent: z.number(),
  /** Position of the first event of this update in the complete text. */
  from: z.number(),
  events: z.array(EVENT_SCHEMA),
  end: z.optional(
    z.enum([
      'completed',
      'impossible',
      'failed',
      'not-run',
      'broken',
      'stopped',
    ]),
  ),
});

/** Schema of an agent's state of its engine. */
export const ENGINE_STATE_SCHEMA = z.object({
  isReachable: z.boolean(),
  /** Present weight version of each model. */
  versions: z.record(z.string(), z.number()),
  /** Whether a load is in progress. */
  isBusy: z.boolean(),
  running: z.number(),
  waiting: z.number(),
  /** Memory in use that cannot be freed, in tokens. */
  memoryUsed: z.number(),
  /** Requests per second that it takes; absent if it states no limit. */
  limit: z.optional(z.number()),
  /** Whether it says that it leaves. */
  isLeaving: z.optional(z.boolean()),
});

/** Schema of the answer to a `sync` call. */
export const SYNC_ANSWER_SCHEMA = z.object({
  /** Newest epoch that the agent knows. */
  epoch: z.number(),
  incarnation: z.string(),
  /** Agent time: the agent's monotonic clock, in ms. */
  tick: z.number(),
  /** Number of this answer. */
  sequence: z.number(),
  updates: z.array(RUN_UPDATE_SCHEMA),
  engine: ENGINE_STATE_SCHEMA,
});

/** Schema of the same answer before its updates are read: one that can't be read must
 * not cost those of other runs. */
export const SYNC_ANSWER_FRAME_SCHEMA = z.extend(SYNC_ANSWER_SCHEMA, {
  updates: z.array(z.unknown()),
});

/** An update that can't be read. */
export interface RejectedUpdate {
  /** Its run; undefined if that can't be read either. */
  readonly runId: string | undefined;
  readonly detail: string;
}

const RUN_ID_SCHEMA = z.object({runId: z.string()});

/** Reads the updates of an answer. */
export function readUpdates(values: readonly unknown[]): {
  updates: RunUpdate[];
  rejected: RejectedUpdate[];
} {
  const {entries, rejected} = selectEntries(RUN_UPDATE_SCHEMA, values);
  return {
    updates: entries,
    rejected: rejected.map(({value, detail}) => {
      const parsed = RUN_ID_SCHEMA.safeParse(value);
      return {runId: parsed.data?.runId, detail};
    }),
  };
}

/** Schema of an agent's report on its last contact with a coordinator. */
export const COORDINATOR_CONTACT_SCHEMA = z.object({
  epoch: z.number(),
  /** Time since the last contact, in ms. */
  agoMs: z.number(),
});

export type RunOrder = z.infer<typeof RUN_ORDER_SCHEMA>;
export type LoadOrder = z.infer<typeof LOAD_ORDER_SCHEMA>;
export type AgentCommands = z.infer<typeof AGENT_COMMANDS_SCHEMA>;
export type SyncCall = z.infer<typeof SYNC_CALL_SCHEMA>;
export type RunUpdate = z.infer<typeof RUN_UPDATE_SCHEMA>;
export type EngineState = z.infer<typeof ENGINE_STATE_SCHEMA>;
export type SyncAnswer = z.infer<typeof SYNC_ANSWER_SCHEMA>;
export type CoordinatorContactReport = z.infer<
  typeof COORDINATOR_CONTACT_SCHEMA
>;
