/** Applies the decisions on arriving answers to the calls that read them. */
import {AnswerArrivals, ArrivalLimits, MemoryLimits} from '@sassafrasspan/core';
import type {ArrivalHandlers, ArrivalMeter} from './http_call';
import type {EventLog} from './log';
import type {Metrics} from './metrics';

/** Part of the hard limit that answers may hold while they are read: what is held
 * for callers comes on top of it. */
const READING_SHARE = 0.5;

export interface ArrivalBoardOptions {
  readonly limits: MemoryLimits;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Called with the bytes that have come in. */
  readonly onBytes: (bytes: number) => void;
}

/** An answer of an endpoint, for the log. */
interface OpenArrival extends ArrivalHandlers {
  readonly requestId: string;
  readonly source: string;
}

/** The answers of endpoints that are arriving at this process. */
export class ArrivalBoard {
  private readonly arrivals: AnswerArrivals;
  private readonly open = new Map<number, OpenArrival>();

  private constructor(private readonly options: ArrivalBoardOptions) {
    this.arrivals = AnswerArrivals.create(computeLimits(options.limits));
  }

  static create(options: ArrivalBoardOptions): ArrivalBoard {
    return new ArrivalBoard(options);
  }

  /** Adds an answer of the endpoint at `source`, whose head has arrived. */
  openArrival(
    requestId: string,
    source: string,
    statedBytes: number,
    handlers: ArrivalHandlers,
  ): ArrivalMeter {
    const id = this.arrivals.add(source, statedBytes);
    this.open.set(id, {...handlers, requestId, source});
    let arrivedBytes = 0;
    if (this.arrivals.isReading(id)) handlers.start();
    this.advance();
    return {
      recordArrived: bytes => {
        this.arrivals.recordArrived(id, bytes);
        this.options.onBytes(bytes - arrivedBytes);
        arrivedBytes = bytes;
        this.advance();
      },
      end: () => {
        if (!this.open.delete(id)) return;
        this.arrivals.remove(id);
        this.advance();
      },
    };
  }

  /** Returns the bytes of answers that are being read. */
  getBytes(): number {
    return this.arrivals.getBytes();
  }

  private advance(): void {
    const {starts, drops} = this.arrivals.advance();
    for (const id of drops) this.drop(id);
    for (const id of starts) this.open.get(id)?.start();
  }

  private drop(id: number): void {
    const arrival = this.open.get(id);
    if (arrival === undefined) return;
    this.open.delete(id);
    const {requestId, source} = arrival;
    const {log, metrics} = this.options;
    const heldBytes = this.getBytes();
    metrics.addCount('answers_dropped_total');
    log.writeEvent('answer-dropped', {requestId, source, heldBytes});
    arrival.drop('its endpoint holds most of the memory for answers');
  }
}

function computeLimits({softBytes, hardBytes}: MemoryLimits): ArrivalLimits {
  if (!Number.isFinite(hardBytes)) {
    return {
      ...{startBytes: Infinity, readingBytes: Infinity, waitingBytes: Infinity},
    };
  }
  return {
    startBytes: hardBytes - softBytes,
    readingBytes: hardBytes * READING_SHARE,
    waitingBytes: hardBytes - softBytes,
  };
}
