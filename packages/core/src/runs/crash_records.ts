/**
 * The crashes of endpoints under requests, as all nodes know them: records merge
 * in any order to the same state. A request under which `MAX_CRASHES` endpoints
 * have crashed is quarantined. As another cause may have ended the endpoints, it
 * is tried again some time after the last crash or trial, and an answer clears it
 * everywhere. A call that stays without one is refused until the record expires.
 * An item of a batch job is owed: its trials go on, and become rare only if
 * endpoints crash under it while no others do.
 */

/** Endpoints that a request may crash before it is quarantined. */
const MAX_CRASHES = 3;
/** Time without a crash or trial before each trial of a call, in ms. With a request
 * that was on its way when it was quarantined, three retries reach endpoints. */
export const CALL_TRIAL_DELAYS_MS: readonly number[] = [10_000, 60_000];
/** The same for items of batch jobs, which are due within seconds, by the number of
 * lone crashes beyond those that quarantined the item; the last holds for all more. */
export const ITEM_TRIAL_DELAYS_MS: readonly number[] = [
  4_000, 4_000, 8_000, 16_000, 32_000, 60_000,
];
/** Time within which crashes of several endpoints have one cause, in ms: they are
 * recorded when their connections break, or when their registrations end. */
const COMMON_CAUSE_MS = 2_000;
/** Time after the last crash or trial for which a record is kept, in ms. */
const RECORD_TTL_MS = 3_600_000;
/** Maximum number of records; those with the fewest crashes are dropped first. */
const MAX_RECORDS = 500;

/** A crash or a trial, and when it was recorded, in Unix ms. */
export interface CrashEntry {
  readonly id: string;
  readonly atMs: number;
}

/** What is known of one request. */
export interface CrashRecord {
  readonly fingerprint: string;
  /** Ends of endpoints' lives under the request. */
  readonly crashes: readonly CrashEntry[];
  /** Sends of the request after it was quarantined. */
  readonly trials: readonly CrashEntry[];
  /** Ids of the crashes and trials that an answer has cleared. */
  readonly cleared: readonly string[];
}

/** What may be done with a request: send it, send it with care because an endpoint
 * crashed under it, refuse it, or send it as a trial to find out. */
export type CrashVerdict = 'sound' | 'suspect' | 'quarantined' | 'trial-due';

/** What a request is: a call, or an item of a batch job. */
export type RequestKind = 'call' | 'item';

/** The parts of a record that no answer has cleared. */
function selectValid({crashes, trials, cleared}: CrashRecord) {
  const isValid = ({id}: CrashEntry) => !cleared.includes(id);
  return {crashes: crashes.filter(isValid), trials: trials.filter(isValid)};
}

function findLastMs({
  crashes,
  trials,
}: Omit<CrashRecord, 'fingerprint' | 'cleared'>): number {
  return Math.max(0, ...[...crashes, ...trials].map(({atMs}) => atMs));
}

function createRecord(fingerprint: string): CrashRecord {
  return {fingerprint, crashes: [], trials: [], cleared: []};
}

function mergeEntries(
  known: readonly CrashEntry[],
  added: readonly CrashEntry[],
): readonly CrashEntry[] {
  const fresh = added.filter(({id}) => !known.some(other => other.id === id));
  return fresh.length === 0 ? known : [...known, ...fresh];
}

function mergeRecords(known: CrashRecord, added: CrashRecord): CrashRecord {
  const crashes = mergeEntries(known.crashes, added.crashes);
  const trials = mergeEntries(known.trials, added.trials);
  const cleared = [...new Set([...known.cleared, ...added.cleared])];
  const isSame =
    crashes === known.crashes &&
    trials === known.trials &&
    cleared.length === known.cleared.length;
  return isSame ? known : {...known, crashes, trials, cleared};
}

type TrialDelayFunction = (
  crashes: readonly CrashEntry[],
  trials: readonly CrashEntry[],
) => number;

/** Records by fingerprint. Times are Unix ms: nodes share the records. */
export class CrashRecords {
  private readonly records = new Map<string, CrashRecord>();
  /** Time without a crash or trial before the next trial of a quarantined request,
   * in ms, by its kind. */
  private readonly trialDelays: Readonly<
    Record<RequestKind, TrialDelayFunction>
  > = {
    call: (_, trials) => CALL_TRIAL_DELAYS_MS[trials.length] ?? Infinity,
    item: crashes => {
      const excess = this.countLoneCrashes(crashes) - MAX_CRASHES;
      const index = Math.min(ITEM_TRIAL_DELAYS_MS.length - 1, excess);
      return ITEM_TRIAL_DELAYS_MS[Math.max(0, index)];
    },
  };

  private constructor() {}

  static create(records: readonly CrashRecord[] = []): CrashRecords {
    const created = new CrashRecords();
    created.merge(records, 0);
    return created;
  }

  /** Records that an endpoint crashed under a request; returns whether it was not
   * known. */
  addCrash(fingerprint: string, crash: CrashEntry): boolean {
    return this.add({...createRecord(fingerprint), crashes: [crash]});
  }

  /** Records that a quarantined request is sent. */
  addTrial(fingerprint: string, trial: CrashEntry): boolean {
    return this.add({...createRecord(fingerprint), trials: [trial]});
  }

  /** Clears a request that was answered; returns whether it was suspected. */
  clear(fingerprint: string): boolean {
    const record = this.records.get(fingerprint);
    if (record === undefined) return false;
    const {crashes, trials} = selectValid(record);
    const cleared = [...crashes, ...trials].map(({id}) => id);
    return this.add({...createRecord(fingerprint), cleared});
  }

  /** Adds what another node knows; returns the fingerprints of which that was
   * more than was known here. */
  merge(records: readonly CrashRecord[], nowMs: number): string[] {
    this.dropExpired(nowMs);
    return records
      .filter(record => nowMs - findLastMs(record) <= RECORD_TTL_MS)
      .filter(record => this.add(record))
      .map(({fingerprint}) => fingerprint);
  }

  /** Forgets everything. */
  reset(): void {
    this.records.clear();
  }

  /** Decides what may be done with a request. */
  decide(
    fingerprint: string,
    nowMs: number,
    kind: RequestKind = 'call',
  ): CrashVerdict {
    const record = this.records.get(fingerprint);
    if (record === undefined) return 'sound';
    const sinceMs = nowMs - findLastMs(record);
    const {crashes, trials} = selectValid(record);
    if (crashes.length === 0 || sinceMs > RECORD_TTL_MS) return 'sound';
    if (crashes.length < MAX_CRASHES) return 'suspect';
    const delayMs = this.trialDelays[kind](crashes, trials);
    return sinceMs >= delayMs ? 'trial-due' : 'quarantined';
  }

  find(fingerprint: string): CrashRecord | undefined {
    return this.records.get(fingerprint);
  }

  /** Returns the number of crashes that count against a request. */
  countCrashes(fingerprint: string): number {
    const record = this.records.get(fingerprint);
    return record === undefined ? 0 : selectValid(record).crashes.length;
  }

  /** Lists the records, the oldest first. */
  list(): CrashRecord[] {
    return [...this.records.values()];
  }

  /** Returns whether all that these records hold is known here. */
  hasAll(records: readonly CrashRecord[]): boolean {
    return records.every(record => {
      const known = this.records.get(record.fingerprint);
      return known !== undefined && mergeRecords(known, record) === known;
    });
  }

  dropExpired(nowMs: number): void {
    for (const [fingerprint, record] of this.records) {
      if (nowMs - findLastMs(record) <= RECORD_TTL_MS) continue;
      this.records.delete(fingerprint);
    }
  }

  /** Counts the crashes of a request at about whose time no endpoint crashed that
   * did not run it. */
  private countLoneCrashes(crashes: readonly CrashEntry[]): number {
    const ownIds = new Set(crashes.map(({id}) => id));
    const others = this.list()
      .flatMap(record => record.crashes)
      .filter(({id}) => !ownIds.has(id));
    const isLone = ({atMs}: CrashEntry) =>
      others.every(other => Math.abs(other.atMs - atMs) > COMMON_CAUSE_MS);
    return crashes.filter(isLone).length;
  }

  private add(record: CrashRecord): boolean {
    const {fingerprint} = record;
    const known = this.records.get(fingerprint) ?? createRecord(fingerprint);
    const merged = mergeRecords(known, record);
    if (merged === known) return false;
    this.records.set(fingerprint, merged);
    if (this.records.size > MAX_RECORDS) this.evictOne();
    return true;
  }

  /** Evicts the same record at every node that knows the same ones. */
  private evictOne(): void {
    const [first] = this.list().sort(compareWorth);
    this.records.delete(first.fingerprint);
  }
}

/** Orders records by how many crashes count, then the older before the newer. */
function compareWorth(a: CrashRecord, b: CrashRecord): number {
  return (
    selectValid(a).crashes.length - selectValid(b).crashes.length ||
    findLastMs(a) - findLastMs(b) ||
    (a.fingerprint < b.fingerprint ? -1 : 1)
  );
}
