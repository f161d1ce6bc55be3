/** Reads the operators' pages of nodes over HTTP. */
import {ServiceError, createError} from '@sassafrasspan/core';
import {describeError} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import {request} from 'undici';
import {z} from 'zod';

const PAGE_TIMEOUT_MS = 2_000;

const ENDPOINT_SCHEMA = z.object({
  name: z.string(),
  service: z.string(),
  state: z.string(),
  running: z.number(),
  queued: z.number(),
  /** Unknown to agents whose engine does not state it. */
  slots: z.number().optional(),
  weightVersion: z.number(),
});

/** An endpoint as its agent's page shows it. */
export type EndpointStatus = z.infer<typeof ENDPOINT_SCHEMA>;

/** Schema of the status page of a node of either role. */
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
  /** Endpoints of an agent. */
  endpoints: z.array(ENDPOINT_SCHEMA).default([]),
  /** Agents that an entry watches. */
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

/** The status page of a node. */
export type StatusPage = z.infer<typeof STATUS_PAGE_SCHEMA>;

/** Schema of the page of decisions for a request. */
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

/** One event that a node remembers of a request. */
export type DecisionLine = z.infer<
  typeof DECISIONS_PAGE_SCHEMA
>['decisions'][number];

/** A page that was asked for, with its node's address. */
export interface FetchedPage<T> {
  readonly url: string;
  readonly page: Result<T, ServiceError>;
}

/** Reads one page of every node at once. */
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
    const reply = await request(`${url.replace(/\/$/, '')}${path}`, {
      signal: AbortSignal.timeout(PAGE_TIMEOUT_MS),
    });
    return ok(schema.parse(await reply.body.json()));
  } catch (error) {
    return err(createError('agent-lost', describeError(error)));
  }
}
