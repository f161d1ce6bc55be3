/**
 * Enumerates the orders of run, revoke and acknowledge messages of two
 * attempts at one agent, each delivered up to twice, among starts, ends,
 * passing time and a restart of the agent. No order may let an attempt start
 * that is stated as not run.
 */
import {ANSWER_RETENTION_MS, Dispatch, RunTable} from './run_table';

const MAX_DEPTH = 9;
const JUMP_MS = 2_500;
const MAX_JUMPS = 6;
const MAX_COPIES = 2;
const ATTEMPTS = [1, 2];

type CreateTable = (life: string) => RunTable;

/** One branch of the enumeration, rebuilt from its path. */
class Branch {
  readonly delivered = new Map<string, number>();
  /** Life that each attempt's run message has reached. */
  private readonly reached = new Map<number, string>();
  private readonly started = new Set<number>();
  private readonly stated = new Set<number>();
  private life = 'life-1';
  private nowMs = 0;
  private table: RunTable;

  private constructor(private readonly createTable: CreateTable) {
    this.table = createTable(this.life);
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
    const life = this.reached.get(attempt);
    const isElsewhere = life !== undefined && life !== this.life;
    if (name === 'run' && isElsewhere) return false;
    if (attempt === 2 && !this.stated.has(1)) return false;
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
    this.life = 'life-2';
    this.table = this.createTable(this.life);
  }

  private receiveRun(attempt: number): void {
    this.reached.set(attempt, this.life);
    const guard = {rulesRevision: 1, nowMs: this.nowMs, refusal: undefined};
    const admitted = this.table.admitDispatch(createDispatch(attempt), guard);
    if (admitted.isErr()) this.stated.add(attempt);
  }

  private receiveRevoke(attempt: number): void {
    const status = this.table.revokeRun(createDispatch(attempt), this.nowMs);
    if (status === 'not-run') this.stated.add(attempt);
  }

  isViolated(): boolean {
    return ATTEMPTS.some(
      attempt => this.stated.has(attempt) && this.started.has(attempt),
    );
  }

  /** Describes all that later events can depend on. */
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
    incarnation: 'life-1',
    rulesRevision: 1,
    seenTick: 0,
    budgetMs: 1_000,
    entry: 'entry',
  };
}

/** What an enumeration met. */
interface Enumeration {
  readonly states: number;
  readonly violation: string | undefined;
}

function walkOrders(createTable: CreateTable): Enumeration {
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

test('no order lets an attempt start that is stated as not run', () => {
  const found = walkOrders(life => RunTable.create({incarnation: life}));
  expect(found).toMatchSnapshot();
});

test('the enumeration finds the fault of a table without memory', () => {
  const found = walkOrders(life => {
    const table = RunTable.create({incarnation: life});
    const revokeRun = table.revokeRun.bind(table);
    table.revokeRun = (revocation, nowMs) => {
      const isKnown = table.findRecord(revocation) !== undefined;
      return isKnown ? revokeRun(revocation, nowMs) : 'not-run';
    };
    return table;
  });
  expect(found.violation).toMatchSnapshot();
});

test('the time for which starts are remembered exceeds every jump', () => {
  expect(JUMP_MS * MAX_JUMPS).toBeGreaterThan(ANSWER_RETENTION_MS);
});
