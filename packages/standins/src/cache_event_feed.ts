/**
 * Cache events of the stand-in engine: numbered in order, published late, and
 * with gaps where an event is lost.
 */

/** What happened to a prompt's prefix. */
export interface CacheEvent {
  /** Number in order, from 1; a missing number is a lost event. */
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted' | 'cleared';
  /** Prompt; empty when everything was cleared. */
  readonly prompt: string;
}

interface TimestampedEvent extends CacheEvent {
  readonly atMs: number;
}

/** Events of one engine's cache. */
export class CacheEventFeed {
  /** Time after which an event is published, in ms. */
  lagMs = 0;
  /** Every event of this many is lost; 0 for none. */
  dropEvery = 0;
  private readonly events: TimestampedEvent[] = [];
  private sequence = 0;

  private constructor() {}

  /** Builds a feed without events. */
  static create(): CacheEventFeed {
    return new CacheEventFeed();
  }

  /** Notes an event at a time in ms; it may be lost. */
  addEvent(kind: CacheEvent['kind'], prompt: string, atMs: number): void {
    this.sequence += 1;
    const {sequence, dropEvery} = this;
    if (dropEvery > 0 && sequence % dropEvery === 0) return;
    this.events.push({sequence, kind, prompt, atMs});
  }

  /** Lists the published events after a sequence number. */
  listEvents(after: number, nowMs: number): CacheEvent[] {
    return this.events
      .filter(event => event.sequence > after)
      .filter(event => event.atMs + this.lagMs <= nowMs)
      .map(({sequence, kind, prompt}) => ({sequence, kind, prompt}));
  }
}
