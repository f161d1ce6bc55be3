/**
 * Operators race each other over an object store that loses requests and
 * replies and delays writes until after the read-back. The oracle compares
 * what each operator was told with the heads that the store ever held.
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

/** Applies an edit; the product's function or the test's naive one. */
type Apply = (
  store: ObjectStore,
  edit: RulesEdit,
) => Promise<Result<RulesRevision, ServiceError>>;

/** Chooses one of `count` ways to go on. */
type Chooser = (count: number) => number;

/** A call that the platform has not answered yet. */
interface PendingCall {
  readonly operator: string;
  readonly isWrite: boolean;
  run(): void;
  loseRequest(): void;
  loseReply(): void;
  delay(): void;
}

const LOST = createError('platform-down', 'no answer');

/** An object store whose calls wait until the test decides their fate. */
class FakeStore {
  readonly pendingCalls: PendingCall[] = [];
  readonly delayedWrites: Array<() => unknown> = [];
  /** Author and revision of every head that was ever in place. */
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

/** Settles the head as one reads it at first: a read-back after an error. */
const applyWithSingleRead: Apply = async (store, edit) => {
  let answer: Result<number, ServiceError> | undefined;
  const once: ObjectStore = {
    ...store,
    writeObject: async (key, value, expected) => {
      if (key !== RULES_HEAD_KEY) {
        return store.writeObject(key, value, expected);
      }
      answer ??= await store.writeObject(key, value, expected);
      if (answer.isOk()) return answer;
      const found = await readRulesHead(store);
      const head = found.isOk() ? found.value.head : undefined;
      const isOwn = (head?.body as RulesRevision)?.author === edit.author;
      return isOwn ? ok(1) : err(createError('conflict', 'another head'));
    },
  };
  return applyRules(once, edit, async () => undefined);
};

const applyWithoutPauses: Apply = (store, edit) =>
  applyRules(store, edit, async () => undefined);

/** What the platform can do with a call, by whether it writes. */
const READ_OUTCOMES = ['run', 'loseRequest'] as const;
const WRITE_OUTCOMES = ['run', 'loseReply', 'loseRequest', 'delay'] as const;

async function waitForPendingCalls(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
}

/** What operators were told, and what the store held, at the end of a race. */
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
  const told = new Map<string, Result<RulesRevision, ServiceError>>();
  const states: string[] = [];
  for (const author of operators) {
    const edit = {text: '', rules: [], author, writtenAtMs: 0};
    void apply(store.connectOperator(author), {
      ...edit,
      basedOn: undefined,
    }).then(result => told.set(author, result));
  }
  for (let step = 0; told.size < operators.length; step++) {
    await waitForPendingCalls();
    states.push(describeState(store, told));
    const isFree = step < maxSteps;
    runRaceStep(store, isFree ? choose : () => 0);
  }
  for (const run of store.delayedWrites) run();
  return {violations: findViolations(store, told), states};
}

function runRaceStep(store: FakeStore, choose: Chooser): void {
  const calls = store.pendingCalls;
  const late = store.delayedWrites;
  const index = choose(calls.length + late.length);
  if (index >= calls.length) {
    late.splice(index - calls.length, 1).forEach(run => run());
    return;
  }
  const [call] = calls.splice(index, 1);
  if (call === undefined) return;
  const fates = call.isWrite ? WRITE_OUTCOMES : READ_OUTCOMES;
  call[fates[choose(fates.length)]]();
}

function describeState(
  store: FakeStore,
  told: ReadonlyMap<string, Result<RulesRevision, ServiceError>>,
): string {
  const calls = store.pendingCalls.map(
    call => `${call.operator}${call.isWrite}`,
  );
  const answers = [...told].map(([name, result]) => `${name}${result.isOk()}`);
  return JSON.stringify([
    store.headHistory,
    calls,
    store.delayedWrites.length,
    answers,
  ]);
}

/** The oracle: sees operators' answers and the heads that were in place. */
function findViolations(
  store: FakeStore,
  told: ReadonlyMap<string, Result<RulesRevision, ServiceError>>,
): string[] {
  const violations: string[] = [];
  for (const [author, result] of told) {
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

describe('racing operators over a faulty platform', () => {
  const draws = fc.array(fc.nat(11), {minLength: 10, maxLength: 60});

  test('are told the truth', async () => {
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

  test('control: one read-back tells untruths', async () => {
    const found = new Set<string>();
    const property = fc.asyncProperty(draws, async numbers => {
      const choose = createChooser(numbers);
      const race = await runRace(
        ['a', 'b', 'c'],
        applyWithSingleRead,
        choose,
        60,
      );
      for (const violation of race.violations) {
        found.add(violation.split(':')[0]);
      }
    });
    await fc.assert(property, readFuzzParameters(9_001, 400));
    expect([...found]).toContain('refused but in force');
  });
});

/** Walks every sequence of choices up to a depth by replay. */
async function walkRaces(apply: Apply, depth: number) {
  const states = new Set<string>();
  const violations = new Set<string>();
  let races = 0;
  let path: number[] = [];
  for (;;) {
    const widths: number[] = [];
    const choose: Chooser = count => {
      const position = widths.length;
      if (position >= depth || count <= 1) return 0;
      widths.push(count);
      return path[position] ?? 0;
    };
    const race = await runRace(['a', 'b'], apply, choose, depth);
    races += 1;
    for (const state of race.states) states.add(state);
    for (const violation of race.violations) violations.add(violation);
    const taken = widths.map((_width, index) => path[index] ?? 0);
    let last = widths.length - 1;
    while (last >= 0 && taken[last] + 1 >= widths[last]) last -= 1;
    if (last < 0) return {races, states: states.size, violations};
    path = [...taken.slice(0, last), taken[last] + 1];
  }
}

describe('every order of two operators, to a depth of 12 choices', () => {
  test('tells the truth', async () => {
    const walked = await walkRaces(applyWithoutPauses, 12);
    expect(walked).toMatchSnapshot();
  });

  test('control: one read-back tells untruths', async () => {
    const walked = await walkRaces(applyWithSingleRead, 12);
    expect([...walked.violations].sort()).toMatchSnapshot();
  });
});
