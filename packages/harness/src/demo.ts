/**
 * The demo: starts a whole system on loopback, makes calls of every sort,
 * runs a rollout step across a weight swap and a crash, changes the rules,
 * and counts what its clients saw.
 */
import {StepDescription, STEP_DESCRIPTION_SCHEMA} from '@sassafrasspan/core';
import {CallerAnswer, TestTrainer, callCompletion, callEntry} from './clients';
import {DEMO_PLAN, formatDemoRules} from './demo_plan';
import {fetchStatus, waitUntil} from './node_status';
import {TestSystem} from './system';

const CUSTOMER = 'kyklos';
const STALENESS_BOUND = 1;
const CRASH_AFTER_MS = 300;

/** What the clients counted. */
interface DemoTally {
  answered: number;
  readonly faults: string[];
}

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

function checkAnswer(
  tally: DemoTally,
  what: string,
  answer: CallerAnswer,
  expected: string,
): void {
  if (answer.status === 200 && answer.text.includes(expected)) {
    tally.answered += 1;
    printLine(`  ${what}: answered`);
  } else {
    tally.faults.push(`${what}: ${answer.status} ${answer.text}`);
  }
}

async function makeCalls(system: TestSystem, tally: DemoTally): Promise<void> {
  const urls = [...system.entries.values()].map(entry => entry.callersUrl);
  const body = {model: 'briefing-lm', prompt: 'Brief the bar', max_tokens: 40};
  const whole = await callCompletion(urls[0], CUSTOMER, body);
  checkAnswer(tally, 'a completion', whole, '"text"');
  const streamed = await callCompletion(urls[1], CUSTOMER, {
    ...body,
    stream: true,
  });
  checkAnswer(tally, 'a streamed completion', streamed, '[DONE]');
  const path = '/services/booking-app/shifts/17';
  const read = await callEntry(urls[0], CUSTOMER, path);
  checkAnswer(tally, 'a read of the booking app', read, '/shifts/17');
  const post = await callEntry(urls[1], CUSTOMER, path, {
    method: 'POST',
    body: '{"waiter":"Eleni"}',
  });
  checkAnswer(tally, 'a booking that runs at most once', post, 'Eleni');
}

const STEP: StepDescription = STEP_DESCRIPTION_SCHEMA.parse({
  prompts: Array.from({length: 8}, (_, index) => ({
    prompt: `Draft the briefing for gala ${index}`,
    maxTokens: 120,
  })),
  groupSize: 8,
  scoring: 'score',
  stalenessBound: STALENESS_BOUND,
});

async function runStep(system: TestSystem, tally: DemoTally) {
  const urls = [...system.entries.values()].map(entry => entry.callersUrl);
  const trainer = TestTrainer.create(CUSTOMER, 'briefs');
  await trainer.publishVersion(urls[0], 1);
  const put = await trainer.putStep(urls[0], 'step-1', STEP);
  if (put.status !== 200) tally.faults.push(`step: ${put.text}`);
  const pulled = trainer.pullStep(urls, 'step-1', STALENESS_BOUND);
  await new Promise(resolve => setTimeout(resolve, CRASH_AFTER_MS));
  printLine('  engine lm-2 crashes');
  await system.setFaults(system.getEndpoint('lm-2'), {crash: true});
  printLine('  the trainer publishes version 2');
  await trainer.publishVersion(urls[1], 2);
  const result = await pulled;
  const expected = STEP.prompts.length * STEP.groupSize;
  if (result.samples.length !== expected) {
    tally.faults.push(`${result.samples.length} of ${expected} samples`);
  }
  return result;
}

async function changeRules(system: TestSystem): Promise<number> {
  const revision = await system.applyRules(formatDemoRules(250));
  for (const entry of system.entries.values()) {
    await waitUntil(`revision ${revision} at ${entry.name}`, async () => {
      return (await fetchStatus(entry)).rulesRevision === revision;
    });
  }
  return revision;
}

async function countDomains(
  system: TestSystem,
  revision: number,
): Promise<number> {
  const domains = new Set<string>();
  for (const agent of system.agents.values()) {
    await waitUntil(`revision ${revision} at ${agent.name}`, async () => {
      const reply = await fetch(`${agent.operatorsUrl}/status`);
      const status = (await reply.json()) as {readonly rulesRevision: number};
      return status.rulesRevision === revision;
    });
    domains.add(agent.failureDomain);
  }
  for (const entry of system.entries.values()) domains.add(entry.failureDomain);
  return domains.size;
}

async function runDemo(): Promise<void> {
  printLine('Starting 2 entries, 6 agents and their stand-ins');
  const system = await TestSystem.create(DEMO_PLAN);
  const tally: DemoTally = {answered: 0, faults: []};
  try {
    printLine('Calls, through both entries:');
    await makeCalls(system, tally);
    printLine('A rollout step of 64 samples:');
    const step = await runStep(system, tally);
    printLine(`  the trainer has ${step.samples.length} samples`);
    printLine('A change of the rules:');
    const revision = await changeRules(system);
    const domains = await countDomains(system, revision);
    for (const fault of tally.faults) printLine(`fault: ${fault}`);
    printLine(
      `demo: ${tally.answered} calls answered, ` +
        `${step.samples.length} samples delivered, ` +
        `${step.duplicated} duplicated, ${step.stale} stale, ` +
        `rules revision ${revision} in force in ${domains} failure domains`,
    );
    const isClean = step.duplicated === 0 && step.stale === 0;
    process.exitCode = isClean && tally.faults.length === 0 ? 0 : 1;
  } finally {
    await system.close();
  }
}

void runDemo();
