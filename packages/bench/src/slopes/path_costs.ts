/**
 * Cost of a call through entry and agent compared with a direct call over
 * loopback, and the memory and processor time of idle processes.
 */
import {spawn} from 'node:child_process';
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {
  DEMO_PLAN,
  ManagedProcess,
  TestSystem,
  callEntry,
  findDistFolder,
} from '@sassafrasspan/harness';
import {computeQuantile} from '../run_stats';
import {CostMeasurement, waitMs} from './cost_measurements';

const CALLS = [250, 500, 1_000];
const WARM_UP_CALLS = 200;
const IDLE_MS = 5_000;
/** Unit of the times in /proc/PID/stat, at 100 clock ticks per second. */
const JIFFY_US = 10_000;
/** Positions in /proc/PID/stat, counted after the command's name. */
const UTIME_FIELD = 11;
const STIME_FIELD = 12;

function readProcessCpuUs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[UTIME_FIELD]) + Number(fields[STIME_FIELD])) * JIFFY_US;
}

function readRssMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const [, kb] = /VmRSS:\s+(\d+)/.exec(status) ?? [];
  return Number(kb) / 1_024;
}

/** Returns the latency of each of a number of consecutive calls, in ms. */
async function measureCalls(
  calls: number,
  call: () => Promise<unknown>,
): Promise<number[]> {
  const latencies: number[] = [];
  for (let i = 0; i < calls; i++) {
    const startedMs = performance.now();
    await call();
    latencies.push(performance.now() - startedMs);
  }
  return latencies;
}

async function measurePath(
  system: TestSystem,
  entry: ManagedProcess,
  agent: ManagedProcess,
  size: number,
): Promise<CostMeasurement> {
  const {callersUrl} = system.getEntry('entry-a');
  const {url} = system.getEndpoint('app-1');
  const callDirect = async () => (await fetch(`${url}/shifts/17`)).text();
  const callThroughEntry = () =>
    callEntry(callersUrl, 'kyklos', '/services/booking-app/shifts/17', {
      method: 'GET',
    });
  await measureCalls(WARM_UP_CALLS, callThroughEntry);
  await measureCalls(WARM_UP_CALLS, callDirect);
  const entryUs = readProcessCpuUs(entry.getPid());
  const agentUs = readProcessCpuUs(agent.getPid());
  const routedMs = await measureCalls(size, callThroughEntry);
  const entryCpuUs = (readProcessCpuUs(entry.getPid()) - entryUs) / size;
  const agentCpuUs = (readProcessCpuUs(agent.getPid()) - agentUs) / size;
  const directMs = await measureCalls(size, callDirect);
  const compareAt = (share: number) =>
    computeQuantile(routedMs, share) / computeQuantile(directMs, share);
  const figures = {
    ratioP50: compareAt(0.5),
    ratioP99: compareAt(0.99),
    entryCpuUs,
    agentCpuUs,
  };
  return {name: 'plain calls through entry and agent', size, figures};
}

/** Returns the memory of a process that has only loaded the bundle. */
async function measureBareRssMb(): Promise<number> {
  const bundle = path.join(findDistFolder(), 'sassafrasspan.cjs');
  const script = `process.exit = () => undefined;
    setInterval(() => undefined, 1000);
    process.argv = ['node', 'sassafrasspan', '--help'];
    require(${JSON.stringify(bundle)});`;
  const child = spawn(process.execPath, ['-e', script], {stdio: 'ignore'});
  await waitMs(IDLE_MS);
  const rssMb = readRssMb(child.pid ?? 0);
  child.kill();
  return rssMb;
}

/** Measures idle processes first, then calls through entry and agent. */
export async function measurePaths(): Promise<CostMeasurement[]> {
  const bareRssMb = await measureBareRssMb();
  const system = await TestSystem.create({
    ...DEMO_PLAN,
    entries: DEMO_PLAN.entries.slice(0, 1),
    endpoints: DEMO_PLAN.endpoints.filter(item => item.name === 'app-1'),
  });
  const entry = system.getEntry('entry-a').process;
  const agent = [...system.agents.values()][0].process;
  const measurements: CostMeasurement[] = [
    {name: 'bundle loaded and idle', size: 1, figures: {rssMb: bareRssMb}},
  ];
  const startCpuUs = [
    readProcessCpuUs(entry.getPid()),
    readProcessCpuUs(agent.getPid()),
  ];
  await waitMs(IDLE_MS);
  for (const [index, [name, node]] of [
    ['idle entry', entry] as const,
    ['idle agent', agent] as const,
  ].entries()) {
    const usedUs = readProcessCpuUs(node.getPid()) - startCpuUs[index];
    const figures = {
      rssMb: readRssMb(node.getPid()),
      corePercent: usedUs / IDLE_MS / 10,
    };
    measurements.push({name, size: 1, figures});
  }
  for (const size of CALLS) {
    measurements.push(await measurePath(system, entry, agent, size));
  }
  const rssAfterCalls = {
    entryRssMb: readRssMb(entry.getPid()),
    agentRssMb: readRssMb(agent.getPid()),
  };
  measurements.push({name: 'after the calls', size: 1, figures: rssAfterCalls});
  await system.close();
  return measurements;
}
