/** Messages between nodes about the limits that endpoints state. */
import * as z from 'zod/mini';

export const LIMIT_PATHS = {
  /** A node asks a keeper for sends. */
  grant: '/limits/grant',
  /** A node tells others what an answer has shown. */
  observed: '/limits/observed',
  /** A node that has started asks for the limits that are known. */
  list: '/limits/list',
} as const;

/** Schema of a request for sends to one endpoint. */
export const GRANT_REQUEST_SCHEMA = z.object({
  endpointId: z.string(),
  perSecond: z.number().check(z.gte(0)),
  rank: z.int(),
  wanted: z.int().check(z.gte(0)),
});

/** Schema of the answer to such a request. */
export const GRANT_SCHEMA = z.object({
  granted: z.int(),
  nextInMs: z.number(),
});

/** Schema of observations; ages replace times, since clocks differ. */
export const OBSERVATIONS_SCHEMA = z.object({
  observations: z.array(
    z.object({
      endpointId: z.string(),
      /** Requests per second; absent if the answer states no limit. */
      perSecond: z.optional(z.number().check(z.gte(0))),
      ageMs: z.number(),
    }),
  ),
});

export const DONE_SCHEMA = z.object({});

export type ObservationsMessage = z.infer<typeof OBSERVATIONS_SCHEMA>;
