/** Keeps the origins of streams for the entries; a part of nodes of all roles. */
import {Clock, StreamOrigin, StreamOrigins} from '@sassafrasspan/core';
import {ok} from 'neverthrow';
import * as z from 'zod/mini';
import {PeerRoutes, createHandler} from './peer_server';

export const ORIGIN_PATHS = {
  record: '/stream-origins/record',
  list: '/stream-origins/list',
} as const;

const ORIGIN_SCHEMA = z.object({service: z.string(), software: z.string()});
const RECORD_SCHEMA = z.object({key: z.string(), origin: ORIGIN_SCHEMA});
const LIST_SCHEMA = z.object({key: z.string()});

/** Schema of the answer to a lookup. */
export const ORIGINS_SCHEMA = z.object({origins: z.array(ORIGIN_SCHEMA)});

export class StreamOriginKeeper {
  private readonly origins = StreamOrigins.create();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): StreamOriginKeeper {
    return new StreamOriginKeeper(clock);
  }

  /** Returns the handlers for calls of other nodes. */
  createRoutes(): PeerRoutes {
    return {
      [ORIGIN_PATHS.record]: createHandler(RECORD_SCHEMA, ({key, origin}) => {
        this.record(key, origin);
        return ok({});
      }),
      [ORIGIN_PATHS.list]: createHandler(LIST_SCHEMA, ({key}) =>
        ok({origins: this.list(key)}),
      ),
    };
  }

  record(key: string, origin: StreamOrigin): void {
    this.origins.record(key, origin, this.clock.readMonotonicMs());
  }

  /** Lists the different origins that are known under a key. */
  list(key: string): readonly StreamOrigin[] {
    return this.origins.list(key);
  }
}
