/**
 * Enumerates the orders in which run, revoke and acknowledge messages of two
 * attempts can reach one agent, each delivered up to twice, interleaved with
 * starts, ends, the passing of time and a restart of the agent. Guards against
 * an attempt that starts although the agent stated that it did not run.
 */
import {ANSWER_RETENTION_MS, Dispatch, RunTable} from './run_table';

const MAX_DEPTH = 9;
const JUMP_MS = 2_500;
const MAX_JUMPS = 6;
const MAX_COPIES = 2;
const ATTEMPTS = [1, 2];

type CreateTable = (incarnation: string) => RunTable;

/** One branch of the enumeration, rebuilt by replaying its path of events. */
class Branch {
  readonly delivered = new Map<string, number>();
  /** Incarnation that has received the run message of each attempt. */
  private readonly reached = new Map<number, string>();
  private readonly started = new Set<number>();
  private readonly statedNotRun = new Set<number>();
  private incarnation = 'incarnation-1';
  private nowMs = 0;
  private table: RunTable;

  private constructor(private readonly createTable: CreateTable) {
    this.table = createTable(this.incarnation);
  }

  static create(createTable: CreateTable, path: readonly string[]): Branch {
    const branch = new Branch(createTable);
    for (const event of path) branch.applyEvent(event);
    return branch;
  }

  listEvents(): string[] {
    const events = ATTEMPTS.flatMap(attempt => [
      `run ${attempt}`,
      `revoke ${attempt}`,
      `start ${attempt}`,
      `finish ${attempt}`,
      `acknowledge ${attempt}`,
    ]);
    return [...events, 'jump', 'restart'].filter(event =>
      this.isEnabled(event),
    );
  }

  private isEnabled(event: string): boolean {
    const [name, number] = event.split(' ');
    const attempt = Number(number);
    const copies = this.delivered.get(event) ?? 0;
    if (name === 'jump') return copies < MAX_JUMPS;
    if (name === 'restart') return copies < 1;
    if (name === 'start') return this.hasState(attempt, 'queued');
    if (name === 'finish') return this.hasState(attempt, 'running');
    if (name === 'acknowledge') return this.hasState(attempt, 'finished');
    const receiver = this.reached.get(attempt);
    const wasReceivedEarlier =
      receiver !== undefined && receiver !== this.incarnation;
    if (name === 'run' && wasReceivedEarlier) return false;
    if (attempt === 2 && !this.statedNotRun.has(1)) return false;
    return copies < MAX_COPIES;
  }

  private hasState(attempt: number, state: string): boolean {
    return this.table.findRecord({requestId: 'r', attempt})?.state === state;
  }

  private applyEvent(event: string): void {
    const [name, number] = event.split(' ');
    const attempt = Number(number);
    this.delivered.set(event, (this.delivered.get(event) ?? 0) + 1);
    const record = this.table.findRecord({requestId: 'r', attempt});
    if (name === 'jump') this.passTime();
    if (name === 'restart') this.restart();
    if (name === 'run') this.receiveRun(attempt);
    if (name === 'revoke') this.receiveRevoke(attempt);
    if (record === undefined) return;
    if (name === 'start') {
      this.table.markRunning(record);
      this.started.add(attempt);
    }
    if (name === 'finish') this.table.markFinished(record, this.nowMs);
    if (name === 'acknowledge') this.table.releaseRun(record, 'entry');
  }

  private passTime(): void {
    this.nowMs += JUMP_MS;
    this.table.removeExpired(this.nowMs);
  }

  private restart(): void {
    this.incarnation = 'incarnation-2';
    this.table = this.createTable(this.incarnation);
  }

  private receiveRun(attempt: number): void {
    this.reached.set(attempt, this.incarnation);
    const context = {rulesRevision: 1, nowMs: this.nowMs, refusal: undefined};
    const admitted = this.table.admitDispatch(createDispatch(attempt), context);
    if (admitted.isErr()) this.statedNotRun.add(attempt);
  }

  private receiveRevoke(attempt: number): void {
    const status = this.table.revokeRun(createDispatch(attempt), this.nowMs);
    if (status === 'not-run') this.statedNotRun.add(attempt);
  }

  isViolated(): boolean {
    return ATTEMPTS.some(
      attempt => this.statedNotRun.has(attempt) && this.started.has(attempt),
    );
  }

  /** Serializes the state on which later events depend, to detect repeats. */
  describe(): string {
    const replaceValue = (key: string, value: unknown) => {
      if (key === 'answer') return undefined;
      if (value instanceof Map) return [...value].sort();
      return value instanceof Set ? [...value].sort() : value;
    };
    return JSON.stringify({...this, createTable: undefined}, replaceValue);
  }
}

function createDispatch(attempt: number): Dispatch {
  return {
    requestId: 'r',
    attempt,
    endpoint: 'app-1',
    customer: 'kyklos',
    fingerprint: 'f',
    idempotent: false,
    incarnation: 'incarnation-1',
    rulesRevision: 1,
    seenTick: 0,
    budgetMs: 1_000,
    entry: 'entry',
  };
}

interface EnumerationResult {
  /** Number of distinct states visited. */
  readonly states: number;
  /** Shortest path of events to a violation, if there is one. */
  readonly violation: string | undefined;
}

function walkOrders(createTable: CreateTable): EnumerationResult {
  const seen = new Set<string>();
  let paths: string[][] = [[]];
  for (let depth = 0; depth <= MAX_DEPTH; depth++) {
    const next: string[][] = [];
    for (const path of paths) {
      const branch = Branch.create(createTable, path);
      const state = branch.describe();
      if (seen.has(state)) continue;
      seen.add(state);
      if (branch.isViolated()) {
        return {states: seen.size, violation: path.join(', ')};
      }
      for (const event of branch.listEvents()) next.push([...path, event]);
    }
    paths = next;
  }
  return {states: seen.size, violation: undefined};
}

test('no order of messages starts an attempt stated as not run', () => {
  const result = walkOrders(incarnation => RunTable.create({incarnation}));
  expect(result).toMatchSnapshot();
});

test('the enumeration detects a revocation without a tombstone', () => {
  const result = walkOrders(incarnation => {
    const table = RunTable.create({incarnation});
    const revokeRun = table.revokeRun.bind(table);
    table.revokeRun = (revocation, nowMs) => {
      const isKnown = table.findRecord(revocation) !== undefined;
      return isKnown ? revokeRun(revocation, nowMs) : 'not-run';
    };
    return table;
  });
  expect(result.violation).toMatchSnapshot();
});

test('the jumps in time exceed the retention time of started attempts', () => {
  expect(JUMP_MS * MAX_JUMPS).toBeGreaterThan(ANSWER_RETENTION_MS);
});
