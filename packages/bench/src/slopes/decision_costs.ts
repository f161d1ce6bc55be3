/**
 * Processor time and heap of routing, rules, step planning and the limits that
 * endpoints state, at several sizes, measured in this process.
 */
import {
  AttributedRule,
  EndpointTracker,
  FleetView,
  RateKeeper,
  ROLLOUT_POLICIES,
  RuleSet,
  StepState,
  chooseEndpoint,
  createRandomSource,
  rankKeepers,
} from '@sassafrasspan/core';
import {
  CostMeasurement,
  measureCpuUs,
  measureHeapBytes,
} from './cost_measurements';

const POOL_SIZES = [8, 60, 240];
const RULE_COUNTS = [10, 100, 1_000];
const ENTRY_COUNTS = [8, 60, 350];
const STEP_SLOTS = [512, 2_048, 4_096];
const REPEATS = 2_000;
const PLAN_REPEATS = 20;
const SLOTS = 8;
const GROUP_SIZE = 8;

function createFleet(size: number): FleetView {
  const fleet = FleetView.create();
  for (let index = 0; index < size; index++) {
    const name = `lm-${index}`;
    const report = {
      agent: name,
      failureDomain: `domain-${index % 4}`,
      incarnation: '1',
      tick: 1,
      rulesRevision: 1,
      leaving: false,
      endpoints: [
        {
          name,
          service: 'lm',
          state: 'serving' as const,
          running: index % SLOTS,
          queued: 0,
          slots: SLOTS,
          kvUsePermille: 0,
          weightVersion: 1,
          queuedTokens: 0,
          tokensPerSecond: 40,
        },
      ],
    };
    fleet.applyReport(report, 0);
  }
  return fleet;
}

function measureRouting(size: number): CostMeasurement {
  const fleet = createFleet(size);
  const tracker = EndpointTracker.create();
  const random = createRandomSource(1);
  const cpuUs = measureCpuUs(REPEATS, index => {
    const candidates = tracker.createCandidates(fleet.listServing('lm', 0), 0);
    const route = {
      service: 'lm',
      prefixKey: `prefix-${index}`,
      ownDomain: 'domain-0',
      placement: {allowed: undefined, spill: []},
      excluded: [],
      avoidDomain: undefined,
    };
    chooseEndpoint(route, candidates, random);
  });
  return {name: 'choice of an endpoint', size, figures: {cpuUs}};
}

function createRules(count: number): AttributedRule[] {
  return Array.from({length: count}, (_, index) => ({
    rule: {
      id: `rule-${index}`,
      kind: 'priority' as const,
      customer: `customer-${index}`,
      priority: 1,
    },
    askedBy: 'sales',
    line: index + 1,
  }));
}

function measureRules(size: number): CostMeasurement {
  const revision = {
    revision: 1,
    operationId: 'op',
    author: 'bench',
    writtenAtMs: 0,
    text: '',
    rules: createRules(size),
  };
  const heapBytes = measureHeapBytes(() =>
    RuleSet.create({...revision, rules: createRules(size)}),
  );
  const ruleSet = RuleSet.create(revision);
  const cpuUs = measureCpuUs(REPEATS, index =>
    ruleSet.getPriority(`customer-${index % size}`, 'lm'),
  );
  return {name: 'rules, priority of a call', size, figures: {cpuUs, heapBytes}};
}

function createStep(slots: number): StepState {
  const prompts = Array.from({length: slots / GROUP_SIZE}, (_, group) => ({
    prompt: `prompt ${group}`,
    maxTokens: 500,
  }));
  const description = {
    prompts,
    groupSize: GROUP_SIZE,
    scoring: 'judge',
    stalenessBound: 1,
    temperature: 1,
  };
  return StepState.create({
    trainer: 'briefings',
    step: '1',
    customer: 'kyklos',
    service: 'lm',
    description,
    stalenessBound: 1,
    readRuleStalenessBound: () => undefined,
  });
}

function measureStep(size: number): CostMeasurement {
  const heapBytes = measureHeapBytes(() => createStep(size));
  const step = createStep(size);
  const cpuUs = measureCpuUs(PLAN_REPEATS, nowMs =>
    ROLLOUT_POLICIES.current.planStarts({
      nowMs,
      pool: {
        slots: SLOTS,
        freeSlots: 1,
        servedVersion: 0,
        versionIntervalMs: undefined,
        sinceVersionMs: 0,
        tokensPerSecond: 40,
      },
      steps: [step.describeDemand(1, nowMs)],
    }),
  );
  return {name: 'plan of an open step', size, figures: {cpuUs, heapBytes}};
}

/** Measures what a keeper of a limit does for one request for a send. */
function measureKeeping(entryCount: number): CostMeasurement {
  const names = Array.from({length: entryCount}, (_, n) => `entry-${n}`);
  const keeper = RateKeeper.create();
  const cpuUs = measureCpuUs(REPEATS, index => {
    const endpointId = `endpoint-${index % SLOTS}`;
    const request = {endpointId, perSecond: 10, rank: 0, wanted: 1};
    rankKeepers(endpointId, names);
    keeper.grantSends(request, index);
  });
  return {name: 'grant of a send', size: entryCount, figures: {cpuUs}};
}

/** Measures every decision at each of its sizes. */
export function measureDecisions(): CostMeasurement[] {
  return [
    ...POOL_SIZES.map(measureRouting),
    ...RULE_COUNTS.map(measureRules),
    ...STEP_SLOTS.map(measureStep),
    ...ENTRY_COUNTS.map(measureKeeping),
  ];
}
