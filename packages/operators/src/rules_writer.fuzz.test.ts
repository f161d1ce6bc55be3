/**
 * Several operators apply rules concurrently to an object store that loses
 * requests and replies, and delays writes until after an operator has read the
 * head back. The oracle compares the result that each operator received with
 * every head that the store has held.
 */
import {
  RULES_HEAD_KEY,
  RULES_HEAD_SCHEMA,
  RulesRevision,
  ServiceError,
  createError,
} from '@sassafrasspan/core';
import {readFuzzParameters} from '@sassafrasspan/core/testing';
import type {ObjectStore, StoredObject} from '@sassafrasspan/platform';
import fc from 'fast-check';
import {Result, err, ok} from 'neverthrow';
import {RulesEdit, applyRules, readRulesHead} from './rules_writer';

/** Applies an edit: the function under test or the faulty control. */
type Apply = (
  store: ObjectStore,
  edit: RulesEdit,
) => Promise<Result<RulesRevision, ServiceError>>;

/** Returns an index below `count`, or 0 when `count` is 0. */
type Chooser = (count: number) => number;

/** A call that the store has not answered yet. */
interface PendingCall {
  readonly operator: string;
  readonly isWrite: boolean;
  run(): void;
  loseRequest(): void;
  loseReply(): void;
  delay(): void;
}

const LOST = createError('platform-down', 'no answer');

/** An object store whose calls wait until the test chooses their outcome. */
class FakeStore {
  readonly pendingCalls: PendingCall[] = [];
  readonly delayedWrites: Array<() => unknown> = [];
  /** Revision number and author of every head, in order. */
  readonly headHistory: string[] = [];
  private readonly objects = new Map<string, StoredObject>();

  connectOperator(operator: string): ObjectStore {
    const call = <T>(
      isWrite: boolean,
      run: () => Result<T, ServiceError>,
    ): Promise<Result<T, ServiceError>> =>
      new Promise(resolve => {
        this.pendingCalls.push({
          operator,
          isWrite,
          run: () => resolve(run()),
          loseRequest: () => resolve(err(LOST)),
          loseReply: () => {
            run();
            resolve(err(LOST));
          },
          delay: () => {
            this.delayedWrites.push(run);
            resolve(err(LOST));
          },
        });
      });
    const read = (key: string) =>
      ok(this.objects.get(key) ?? {key, version: 0});
    return {
      readObject: key => call(false, () => read(key)),
      watchObject: key => call(false, () => read(key)),
      listObjects: () => call(false, () => ok([...this.objects.values()])),
      writeObject: (key, value, expected) =>
        call(true, () => this.writeObject(key, value, expected)),
    };
  }

  private writeObject(key: string, value: unknown, expected: number) {
    const version = this.objects.get(key)?.version ?? 0;
    if (version !== expected) return err(createError('conflict', 'moved'));
    const copy: unknown = JSON.parse(JSON.stringify(value));
    this.objects.set(key, {key, version: version + 1, value: copy});
    if (key === RULES_HEAD_KEY) this.headHistory.push(describeHead(copy));
    return ok(version + 1);
  }
}

function describeHead(value: unknown): string {
  const head = RULES_HEAD_SCHEMA.parse(value);
  return `${head.revision} ${(head.body as RulesRevision).author}`;
}

/** The control: on an error, reads the head once instead of retrying. */
const applyWithSingleRead: Apply = async (store, edit) => {
  let answer: Result<number, ServiceError> | undefined;
  const writingOnce: ObjectStore = {
    ...store,
    writeObject: async (key, value, expected) => {
      if (key !== RULES_HEAD_KEY) {
        return store.writeObject(key, value, expected);
      }
      answer ??= await store.writeObject(key, value, expected);
      if (answer.isOk()) return answer;
      const stored = await readRulesHead(store);
      const head = stored.isOk() ? stored.value.head : undefined;
      const isOwn = (head?.body as RulesRevision)?.author === edit.author;
      return isOwn ? ok(1) : err(createError('conflict', 'another head'));
    },
  };
  return applyRules(writingOnce, edit, async () => undefined);
};

const applyWithoutPauses: Apply = (store, edit) =>
  applyRules(store, edit, async () => undefined);

/** Possible outcomes of a call that reads, and of one that writes. */
const READ_OUTCOMES = ['run', 'loseRequest'] as const;
const WRITE_OUTCOMES = ['run', 'loseReply', 'loseRequest', 'delay'] as const;

async function waitForPendingCalls(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
}

/** Violations found by the oracle, and the states that occurred. */
interface RaceResult {
  readonly violations: string[];
  readonly states: string[];
}

async function runRace(
  operators: readonly string[],
  apply: Apply,
  choose: Chooser,
  maxSteps: number,
): Promise<RaceResult> {
  const store = new FakeStore();
  const results = new Map<string, Result<RulesRevision, ServiceError>>();
  const states: string[] = [];
  for (const author of operators) {
    const edit = {text: '', rules: [], author, writtenAtMs: 0};
    void apply(store.connectOperator(author), {
      ...edit,
      basedOn: undefined,
    }).then(result => results.set(author, result));
  }
  for (let step = 0; results.size < operators.length; step++) {
    await waitForPendingCalls();
    states.push(describeState(store, results));
    const isChosen = step < maxSteps;
    runRaceStep(store, isChosen ? choose : () => 0);
  }
  for (const run of store.delayedWrites) run();
  return {violations: findViolations(store, results), states};
}

function runRaceStep(store: FakeStore, choose: Chooser): void {
  const calls = store.pendingCalls;
  const writes = store.delayedWrites;
  const index = choose(calls.length + writes.length);
  if (index >= calls.length) {
    writes.splice(index - calls.length, 1).forEach(run => run());
    return;
  }
  const [call] = calls.splice(index, 1);
  if (call === undefined) return;
  const outcomes = call.isWrite ? WRITE_OUTCOMES : READ_OUTCOMES;
  call[outcomes[choose(outcomes.length)]]();
}

function describeState(
  store: FakeStore,
  results: ReadonlyMap<string, Result<RulesRevision, ServiceError>>,
): string {
  const calls = store.pendingCalls.map(
    call => `${call.operator}${call.isWrite}`,
  );
  const answers = [...results].map(
    ([name, result]) => `${name}${result.isOk()}`,
  );
  return JSON.stringify([
    store.headHistory,
    calls,
    store.delayedWrites.length,
    answers,
  ]);
}

/** The oracle: compares the operators' results with the history of heads. */
function findViolations(
  store: FakeStore,
  results: ReadonlyMap<string, Result<RulesRevision, ServiceError>>,
): string[] {
  const violations: string[] = [];
  for (const [author, result] of results) {
    const wasHead = store.headHistory.some(head => head.endsWith(` ${author}`));
    if (result.isOk()) {
      const head = `${result.value.revision} ${author}`;
      if (!store.headHistory.includes(head)) violations.push(`lost: ${head}`);
    } else if (result.error.outcome !== 'unknown' && wasHead) {
      violations.push(`refused but in force: ${author}`);
    }
  }
  const numbers = store.headHistory.map(head => Number(head.split(' ')[0]));
  const isOrdered = numbers.every((number, index) => number === index + 1);
  if (!isOrdered) violations.push(`heads out of order: ${numbers.join()}`);
  return violations;
}

function createChooser(draws: readonly number[]): Chooser {
  let next = 0;
  return count => (count === 0 ? 0 : (draws[next++] ?? 0) % count);
}

describe('concurrent operators on a faulty platform', () => {
  const draws = fc.array(fc.nat(11), {minLength: 10, maxLength: 60});

  test('receive a correct result', async () => {
    await fc.assert(
      fc.asyncProperty(draws, async numbers => {
        const choose = createChooser(numbers);
        const race = await runRace(
          ['a', 'b', 'c'],
          applyWithoutPauses,
          choose,
          60,
        );
        expect(race.violations).toEqual([]);
      }),
      readFuzzParameters(9_001, 400),
    );
  });

  test('control: a single read of the head gives wrong results', async () => {
    const violationKinds = new Set<string>();
    const property = fc.asyncProperty(draws, async numbers => {
      const choose = createChooser(numbers);
      const race = await runRace(
        ['a', 'b', 'c'],
        applyWithSingleRead,
        choose,
        60,
      );
      for (const violation of race.violations) {
        violationKinds.add(violation.split(':')[0]);
      }
    });
    await fc.assert(property, readFuzzParameters(9_001, 400));
    expect([...violationKinds]).toContain('refused but in force');
  });
});

/** Runs a race for every sequence of choices up to a depth. */
async function walkRaces(apply: Apply, depth: number) {
  const states = new Set<string>();
  const violations = new Set<string>();
  let races = 0;
  let path: number[] = [];
  for (;;) {
    const choiceCounts: number[] = [];
    const choose: Chooser = count => {
      const position = choiceCounts.length;
      if (position >= depth || count <= 1) return 0;
      choiceCounts.push(count);
      return path[position] ?? 0;
    };
    const race = await runRace(['a', 'b'], apply, choose, depth);
    races += 1;
    for (const state of race.states) states.add(state);
    for (const violation of race.violations) violations.add(violation);
    const taken = choiceCounts.map((_count, index) => path[index] ?? 0);
    let last = choiceCounts.length - 1;
    while (last >= 0 && taken[last] + 1 >= choiceCounts[last]) last -= 1;
    if (last < 0) return {races, states: states.size, violations};
    path = [...taken.slice(0, last), taken[last] + 1];
  }
}

describe('all interleavings of two operators up to 12 choices', () => {
  test('gives correct results', async () => {
    const walked = await walkRaces(applyWithoutPauses, 12);
    expect(walked).toMatchSnapshot();
  });

  test('control: a single read of the head gives wrong results', async () => {
    const walked = await walkRaces(applyWithSingleRead, 12);
    expect([...walked.violations].sort()).toMatchSnapshot();
  });
});
