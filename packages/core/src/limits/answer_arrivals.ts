/**
 * Decides which answers of endpoints are read while they arrive, and which are
 * dropped when they hold too much. Their bytes count against the endpoint that sends
 * them: the one that holds most gives way, so that it takes nothing that answers of
 * others need, and no caller pays for it.
 *
 * The load it answers: a faulty endpoint that sends bodies without end, or states
 * large ones, to many calls at once, beside ordinary answers of other endpoints.
 */

/** Size up to which an answer is read at once, in bytes. */
const SMALL_BYTES = 65_536;
/** Part of the limit up to which the first answer of an endpoint is read whatever
 * others hold. */
const FIRST_SHARE = 0.25;

export interface ArrivalLimits {
  /** Above this, further answers with a stated size wait, one excepted. */
  readonly startBytes: number;
  /** Above this, answers that are read are dropped, one excepted. */
  readonly readingBytes: number;
  /** Above this, answers that wait are dropped, one excepted. */
  readonly waitingBytes: number;
}

interface Arrival {
  readonly source: string;
  /** Stated size, or what has arrived if that is more. */
  bytes: number;
  isReading: boolean;
}

/** Numbers of answers to act on. */
export interface ArrivalActions {
  /** Their bodies are read from now on. */
  readonly starts: readonly number[];
  /** Their connections are closed. */
  readonly drops: readonly number[];
}

export class AnswerArrivals {
  /** In the order of their heads. */
  private readonly arrivals = new Map<number, Arrival>();
  private lastId = 0;
  private readingBytes = 0;
  private waitingBytes = 0;

  private constructor(private readonly limits: ArrivalLimits) {}

  static create(limits: ArrivalLimits): AnswerArrivals {
    return new AnswerArrivals(limits);
  }

  /** Adds an answer whose head has arrived; `statedBytes` is 0 if its size is not
   * known. Returns its number. */
  add(source: string, statedBytes: number): number {
    this.lastId += 1;
    const isReading = statedBytes <= SMALL_BYTES;
    this.arrivals.set(this.lastId, {source, bytes: statedBytes, isReading});
    this.changeBytes(isReading, statedBytes);
    return this.lastId;
  }

  /** Records the bytes that have arrived of an answer. */
  recordArrived(id: number, bytes: number): void {
    const arrival = this.arrivals.get(id);
    if (arrival === undefined || bytes <= arrival.bytes) return;
    this.changeBytes(arrival.isReading, bytes - arrival.bytes);
    arrival.bytes = bytes;
  }

  /** Removes an answer that is complete or has failed. */
  remove(id: number): void {
    const arrival = this.arrivals.get(id);
    if (arrival === undefined) return;
    this.changeBytes(arrival.isReading, -arrival.bytes);
    this.arrivals.delete(id);
  }

  /** Returns whether the body of an answer may be read. */
  isReading(id: number): boolean {
    return this.arrivals.get(id)?.isReading === true;
  }

  /** Returns the bytes of answers that are being read. */
  getBytes(): number {
    return this.readingBytes;
  }

  /** Returns what to do after a change; answers that are dropped are removed. */
  advance(): ArrivalActions {
    const starts = this.startWaiting();
    const drops = [...this.dropExcess(true), ...this.dropExcess(false)];
    return {starts: starts.filter(id => this.arrivals.has(id)), drops};
  }

  private startWaiting(): number[] {
    const starts: number[] = [];
    if (this.waitingBytes === 0) return starts;
    for (const [id, arrival] of this.arrivals) {
      if (arrival.isReading || !this.canStart(arrival)) continue;
      this.changeBytes(false, -arrival.bytes);
      this.changeBytes(true, arrival.bytes);
      arrival.isReading = true;
      starts.push(id);
    }
    return starts;
  }

  private canStart({source, bytes}: Arrival): boolean {
    const {startBytes} = this.limits;
    if (this.readingBytes === 0) return true;
    if (this.readingBytes + bytes <= startBytes) return true;
    const isFirst = this.sumBySource(true).get(source) === undefined;
    return isFirst && bytes <= startBytes * FIRST_SHARE;
  }

  private dropExcess(isReading: boolean): number[] {
    const {readingBytes, waitingBytes} = this.limits;
    const drops: number[] = [];
    for (;;) {
      const isOver = isReading
        ? this.readingBytes > readingBytes
        : this.waitingBytes > waitingBytes;
      const victim = isOver ? this.chooseVictim(isReading) : undefined;
      if (victim === undefined) return drops;
      drops.push(victim);
      this.remove(victim);
    }
  }

  /** Returns the largest answer of the endpoint that holds most; undefined if there
   * is only one answer, which is bounded by itself. */
  private chooseVictim(isReading: boolean): number | undefined {
    const candidates = [...this.arrivals].filter(
      ([, arrival]) => arrival.isReading === isReading && arrival.bytes > 0,
    );
    if (candidates.length <= 1) return undefined;
    const bySource = this.sumBySource(isReading);
    const getSum = ({source}: Arrival) => bySource.get(source) ?? 0;
    const [[victim]] = candidates.sort(
      ([, a], [, b]) => getSum(b) - getSum(a) || b.bytes - a.bytes,
    );
    return victim;
  }

  private sumBySource(isReading: boolean): Map<string, number> {
    const sums = new Map<string, number>();
    for (const arrival of this.arrivals.values()) {
      if (arrival.isReading !== isReading) continue;
      const sum = sums.get(arrival.source) ?? 0;
      sums.set(arrival.source, sum + arrival.bytes);
    }
    return sums;
  }

  private changeBytes(isReading: boolean, bytes: number): void {
    if (isReading) this.readingBytes += bytes;
    else this.waitingBytes += bytes;
  }
}
