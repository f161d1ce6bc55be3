/**
 * The demo: starts a complete system on loopback, makes one call of each kind,
 * runs a rollout step during a weight swap and an engine crash, changes the
 * rules, and reports the results that its clients received.
 */
import {
  CallerAnswer,
  StepResult,
  TestTrainer,
  callCompletion,
  callEntry,
  createIdempotencyKey,
} from './clients';
import {DEMO_PLAN, DEMO_STEP, DEMO_TRAINER, formatDemoRules} from './demo_plan';
import {countExecutions, fetchEngineTruth} from './demo_truth';
import {fetchStatus, waitUntil} from './node_status';
import {runCommand} from './run_command';
import {TestSystem} from './system';

const CUSTOMER = 'kyklos';
const CRASHED_ENGINE = 'lm-2';
const KEY_RETRY_MS = 250;
const BOOKING_PATH = '/services/booking-app/shifts/17';

/** Results that the clients received. */
interface DemoTally {
  answered: number;
  readonly faults: string[];
}

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Counts an answer with the expected text; records a fault otherwise. */
function checkAnswer(
  tally: DemoTally,
  call: string,
  answer: CallerAnswer,
  expected: string,
): void {
  if (answer.status === 200 && answer.text.includes(expected)) {
    tally.answered += 1;
    printLine(`  ${call}: answered`);
  } else {
    tally.faults.push(`${call}: ${answer.status} ${answer.text}`);
  }
}

function listEntryUrls(system: TestSystem): string[] {
  return [...system.entries.values()].map(entry => entry.callersUrl);
}

async function checkCompletions(
  system: TestSystem,
  tally: DemoTally,
): Promise<void> {
  const urls = listEntryUrls(system);
  const body = {model: 'briefing-lm', prompt: 'Brief the bar', max_tokens: 40};
  const complete = await callCompletion(urls[0], CUSTOMER, body);
  checkAnswer(tally, 'a completion from a model engine', complete, '"text"');
  const streamed = await callCompletion(urls[1], CUSTOMER, {
    ...body,
    stream: true,
  });
  checkAnswer(tally, 'the same, streamed', streamed, '[DONE]');
}

/** The rules mark bookings as non-idempotent: each runs at most once. */
async function checkBookings(
  system: TestSystem,
  tally: DemoTally,
): Promise<void> {
  const urls = listEntryUrls(system);
  const read = await callEntry(urls[0], CUSTOMER, BOOKING_PATH);
  checkAnswer(tally, 'a read of a plain service', read, '/shifts/17');
  const options = {
    method: 'POST',
    headers: {'x-call': 'booking'},
    body: '{"waiter":"Eleni"}',
  };
  const booked = await callEntry(urls[1], CUSTOMER, BOOKING_PATH, options);
  checkAnswer(tally, 'a booking, which may run at most once', booked, 'Eleni');
  const executions = await countExecutions(
    system,
    ['app-1', 'app-2'],
    'booking',
  );
  printLine(`  the booking app ran the booking ${executions} time(s)`);
  if (executions !== 1) {
    tally.faults.push(`the booking ran ${executions} times`);
  }
}

/** Sends a booking twice with one idempotency key, through both entries. */
async function checkKeyedBooking(
  system: TestSystem,
  tally: DemoTally,
): Promise<void> {
  const [first, second] = listEntryUrls(system);
  const send = (url: string, key: string) =>
    callEntry(url, CUSTOMER, BOOKING_PATH, {
      method: 'POST',
      headers: {'x-call': 'keyed booking', 'idempotency-key': key},
      body: '{"waiter":"Nikos"}',
    });
  let key = createIdempotencyKey();
  // The owner of a key refuses keys that may be older than its own records,
  // since it can't know whether their calls have run.
  while ((await send(first, key)).kind === 'key-forgotten') {
    await new Promise(resolve => setTimeout(resolve, KEY_RETRY_MS));
    key = createIdempotencyKey();
  }
  const again = await send(second, key);
  checkAnswer(tally, 'a booking sent twice with one key', again, 'Nikos');
  const names = ['app-1', 'app-2'];
  const executions = await countExecutions(system, names, 'keyed booking');
  printLine(`  the booking app ran this booking ${executions} time(s)`);
  if (executions !== 1) {
    tally.faults.push(`the keyed booking ran ${executions} times`);
  }
}

async function checkUnknownKey(
  system: TestSystem,
  tally: DemoTally,
): Promise<void> {
  const [url] = listEntryUrls(system);
  const answer = await callEntry(url, 'stranger', BOOKING_PATH);
  const isRefused = answer.status === 401 && answer.outcome === 'not-run';
  if (isRefused) {
    printLine('  a call with an unknown API key: refused, not run');
  } else {
    tally.faults.push(`a call with an unknown API key got ${answer.status}`);
  }
}

/** Runs a step during which an engine crashes and weights are swapped. */
async function runStep(
  system: TestSystem,
  tally: DemoTally,
): Promise<StepResult> {
  const urls = listEntryUrls(system);
  const trainer = TestTrainer.create(CUSTOMER, DEMO_TRAINER);
  await trainer.publishVersion(urls[0], 1);
  await waitUntil('version 1 on every engine', () => hasVersion(system, 1));
  const put = await trainer.putStep(urls[0], 'step-1', DEMO_STEP);
  if (put.status !== 200) tally.faults.push(`step: ${put.text}`);
  const pulled = trainer.pullStep(urls, 'step-1', DEMO_STEP.stalenessBound);
  await trainer.publishVersion(urls[1], 2);
  printLine(
    '  the trainer publishes weight version 2 while samples are generated',
  );
  await crashEngine(system, tally);
  const result = await pulled;
  checkStep(result, tally);
  return result;
}

async function hasVersion(
  system: TestSystem,
  version: number,
): Promise<boolean> {
  const status = await fetchStatus(system.getEntry('entry-a'));
  const engines = status.agents
    .flatMap(agent => agent.report.endpoints)
    .filter(endpoint => endpoint.name.startsWith('lm-'));
  return engines.every(engine => engine.weightVersion === version);
}

/** Crashes an engine while it generates samples, and checks that it did. */
async function crashEngine(
  system: TestSystem,
  tally: DemoTally,
): Promise<void> {
  const engine = system.getEndpoint(CRASHED_ENGINE);
  await waitUntil(`${CRASHED_ENGINE} generates samples`, async () => {
    return (await fetchEngineTruth(engine)).running > 0;
  });
  await system.setFaults(engine, {crash: true});
  let truth = {crashes: 0, aborted: 0, running: 0};
  await waitUntil(`${CRASHED_ENGINE} has restarted`, async () => {
    truth = await fetchEngineTruth(engine);
    return true;
  });
  const {crashes, aborted: abortedCount} = truth;
  printLine(
    `  engine ${CRASHED_ENGINE} crashed while generating ${abortedCount} samples`,
  );
  if (crashes !== 1 || abortedCount === 0) {
    tally.faults.push('no engine crash during the step');
  }
}

/** Checks that the step is complete and that weights were swapped in it. */
function checkStep(result: StepResult, tally: DemoTally): void {
  const expected = DEMO_STEP.prompts.length * DEMO_STEP.groupSize;
  const {samples} = result;
  if (samples.length !== expected) {
    tally.faults.push(`${samples.length} of ${expected} samples`);
  }
  const counts = [1, 2].map(version => {
    const generated = samples.filter(sample =>
      sample.segments.some(segment => segment.version === version),
    );
    return generated.length;
  });
  printLine(
    `  received ${samples.length} samples; ${counts[0]} with tokens of ` +
      `version 1, ${counts[1]} with tokens of version 2`,
  );
  if (counts.includes(0)) tally.faults.push('no weight swap during the step');
}

/** Applies changed rules and waits until every node reports them in force. */
async function updateRules(system: TestSystem): Promise<number> {
  const revision = await system.applyRules(formatDemoRules(250));
  const nodes = [...system.entries.values(), ...system.agents.values()];
  for (const node of nodes) {
    await waitUntil(`revision ${revision} at ${node.name}`, async () => {
      return (await fetchStatus(node)).rulesRevision === revision;
    });
  }
  return revision;
}

function countDomains(system: TestSystem): number {
  const nodes = [...system.entries.values(), ...system.agents.values()];
  return new Set(nodes.map(node => node.failureDomain)).size;
}

/** Prints the burn report as an operator sees it, without its header. */
async function printBurnReport(system: TestSystem): Promise<void> {
  const urls = [...system.entries.values()].flatMap(entry => [
    '--node',
    entry.operatorsUrl,
  ]);
  const result = await runCommand('report', 'burn', ...urls);
  const lines = result.stdout.split('\n').slice(2);
  const end = lines.indexOf('');
  for (const line of lines.slice(0, end)) printLine(`  ${line}`);
}

async function runScenarios(system: TestSystem, tally: DemoTally) {
  printLine('Calls of a customer, through both entries:');
  await checkCompletions(system, tally);
  await checkBookings(system, tally);
  await checkUnknownKey(system, tally);
  printLine('A rollout step, with an engine crash and a weight swap:');
  const step = await runStep(system, tally);
  printLine('A booking that is sent again:');
  await checkKeyedBooking(system, tally);
  printLine('The promises, from `sassafrasspan report burn`:');
  await printBurnReport(system);
  printLine('A change of the rules file:');
  const revision = await updateRules(system);
  printLine(`  revision ${revision} is in force in every node`);
  return {step, revision};
}

async function runDemo(): Promise<void> {
  printLine('Starting 2 entries, 6 agents and their stand-ins');
  const system = await TestSystem.create(DEMO_PLAN);
  const tally: DemoTally = {answered: 0, faults: []};
  try {
    const {step, revision} = await runScenarios(system, tally);
    for (const fault of tally.faults) printLine(`fault: ${fault}`);
    const isClean = step.duplicated === 0 && step.stale === 0;
    process.exitCode = isClean && tally.faults.length === 0 ? 0 : 1;
    printLine(
      `demo: ${tally.answered} calls answered, ` +
        `${step.samples.length} samples delivered, ` +
        `${step.duplicated} duplicated, ${step.stale} stale, ` +
        `rules revision ${revision} in force in ` +
        `${countDomains(system)} failure domains`,
    );
  } catch (error) {
    printLine(`fault: ${String(error)}`);
    process.exitCode = 1;
  } finally {
    await system.close();
  }
}

void runDemo();
