/**
 * Reads the operators' pages of nodes over HTTP. The role `home` is the
 * coordinator.
 */
import {ServiceError, createError} from '@sassafrasspan/core';
import {BoundedAnswer, describeError} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import {z} from 'zod';

const PAGE_TIMEOUT_MS = 2_000;
/** Maximum size of a page, in bytes. */
const MAX_PAGE_BYTES = 16_777_216;

const ENDPOINT_SCHEMA = z.object({
  name: z.string(),
  service: z.string(),
  state: z.string(),
  running: z.number(),
  queued: z.number(),
  /** Undefined when the engine does not report its slots to the agent. */
  slots: z.number().optional(),
  weightVersion: z.number(),
});

/** State and load of an endpoint, as reported by its agent. */
export type EndpointStatus = z.infer<typeof ENDPOINT_SCHEMA>;

/** Schema of the page `/status`, the same for all roles. */
export const STATUS_PAGE_SCHEMA = z.object({
  node: z.string(),
  role: z.enum(['entry', 'home', 'agent']),
  failureDomain: z.string(),
  ready: z.boolean(),
  leaving: z.boolean().default(false),
  rulesRevision: z.number(),
  platform: z
    .array(
      z.object({part: z.string(), sinceMs: z.number(), detail: z.string()}),
    )
    .default([]),
  /** Endpoints of this node; only for an agent. */
  endpoints: z.array(ENDPOINT_SCHEMA).default([]),
  /** Latest heartbeat of each agent, as received by an entry. */
  agents: z
    .array(
      z.object({
        ageMs: z.number(),
        report: z.object({
          agent: z.string(),
          failureDomain: z.string(),
          leaving: z.boolean(),
          endpoints: z.array(ENDPOINT_SCHEMA),
        }),
      }),
    )
    .default([]),
});

/** The page `/status` of a node. */
export type StatusPage = z.infer<typeof STATUS_PAGE_SCHEMA>;

/** Schema of the page of events that a node has recorded for a request. */
export const DECISIONS_PAGE_SCHEMA = z.object({
  node: z.string(),
  decisions: z.array(
    z.object({
      requestId: z.string(),
      atMs: z.number(),
      event: z.string(),
      meaning: z.string(),
      fields: z.record(
        z.string(),
        z.union([z.string(), z.number(), z.boolean()]),
      ),
    }),
  ),
});

/** One event that a node has recorded for a request. */
export type DecisionLine = z.infer<
  typeof DECISIONS_PAGE_SCHEMA
>['decisions'][number];

/** The page of one node, or the error that occurred when reading it. */
export interface FetchedPage<T> {
  readonly url: string;
  readonly page: Result<T, ServiceError>;
}

/** Reads the page at `path` from all nodes in parallel. */
export function fetchPages<T>(
  urls: readonly string[],
  path: string,
  schema: z.ZodType<T>,
): Promise<Array<FetchedPage<T>>> {
  return Promise.all(
    urls.map(async url => ({url, page: await fetchPage(url, path, schema)})),
  );
}

async function fetchPage<T>(
  url: string,
  path: string,
  schema: z.ZodType<T>,
): Promise<Result<T, ServiceError>> {
  try {
    const reply = await BoundedAnswer.request(
      `${url.replace(/\/$/, '')}${path}`,
      {
        signal: AbortSignal.timeout(PAGE_TIMEOUT_MS),
        maxBytes: MAX_PAGE_BYTES,
      },
    );
    return ok(schema.parse(await reply.readJson()));
  } catch (error) {
    return err(createError('agent-lost', describeError(error)));
  }
}
