/** Runs one case of the review: starts a deployment, records, and judges. */
import {appendFileSync, existsSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import path from 'node:path';
import {
  DeployedVm,
  DeploymentExtras,
  DeploymentSize,
  ProcessDeployment,
} from '../../platform/src/testing/process_deployment';

/** Time after which a case is given up, in ms; scripts have 120 s. */
const LIMIT_MS = 112_000;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;
/** Second octets of the loopback networks of cases, which no test uses. */
const FIRST_OCTET = 200;
const OCTETS = 50;
/** Port whose listener reserves a network. */
const RESERVATION_PORT = 7_299;

export interface CaseContext {
  /** Whether the disruption happens. */
  readonly trouble: boolean;
  readonly deployment: ProcessDeployment;
  /** Writes a line to the record. */
  record(text: string): void;
  /** Time since the start of the case, in ms. */
  readMs(): number;
}

export interface CaseOptions {
  /** Number of the case's folder. */
  readonly number: number;
  readonly size: DeploymentSize;
  readonly extras?: DeploymentExtras;
  /** Returns what broke the rule; empty if it held. */
  readonly run: (context: CaseContext) => Promise<readonly string[]>;
}

/** Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if
 * the case could not run. */
export async function runCase(options: CaseOptions): Promise<void> {
  const folder = path.join(findRoot(), 'review', String(options.number));
  const file = path.join(folder, 'record.txt');
  const startedAt = performance.now();
  const readMs = () => Math.round(performance.now() - startedAt);
  const trouble = process.env.TROUBLE !== '0';
  writeFileSync(file, `case ${options.number}, trouble: ${trouble}\n`);
  const record = (text: string) =>
    appendFileSync(file, `${String(readMs()).padStart(7)} ${text}\n`);
  let deployment: ProcessDeployment | undefined;
  let code = EXIT_NOT_RUN;
  const finish = async () => {
    if (deployment !== undefined) recordExits(deployment, record);
    await deployment?.stop();
    record(`exit code ${code}`);
    process.exit(code);
  };
  setTimeout(() => {
    record('the time of the case is over');
    void finish();
  }, LIMIT_MS);
  process.on('uncaughtException', error => {
    code = EXIT_NOT_RUN;
    record(`the case could not run: ${error.stack}`);
    void finish();
  });
  try {
    deployment = await startDeployment(options);
    const context = {trouble, deployment, record, readMs};
    const faults = await options.run(context);
    for (const fault of faults) record(`BROKEN: ${fault}`);
    if (faults.length === 0) record('the rule held');
    code = faults.length > 0 ? EXIT_BROKEN : 0;
  } catch (error) {
    record(`the case could not run: ${(error as Error).stack}`);
  }
  await finish();
}

/** Uses a network of its own, so that cases can run beside each other. */
async function startDeployment(
  options: CaseOptions,
): Promise<ProcessDeployment> {
  for (let n = 0; n < OCTETS; n++) {
    const octet = FIRST_OCTET + ((process.pid + n) % OCTETS);
    if (!(await reserveNetwork(octet))) continue;
    return ProcessDeployment.start(options.size, octet, options.extras);
  }
  throw new Error('no loopback network is free');
}

function reserveNetwork(octet: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(RESERVATION_PORT, `127.${octet}.9.9`, () => resolve(true));
  });
}

/** Counts how often the process of a VM ended without a signal of the case. */
export function countOwnEnds(vm: DeployedVm): number {
  return vm.output.filter(text => text.startsWith('exited unexpectedly'))
    .length;
}

function recordExits(
  deployment: ProcessDeployment,
  record: (text: string) => void,
): void {
  for (const vm of deployment.vms) {
    const text = vm.output.join('');
    const lines = text
      .split('\n')
      .filter(line =>
        /exited unexpectedly|process-fault|FATAL ERROR/.test(line),
      );
    for (const line of lines.slice(0, 6)) {
      record(`${vm.name}: ${line.slice(0, 400)}`);
    }
  }
}

function findRoot(): string {
  let folder = __dirname;
  while (!existsSync(path.join(folder, 'package-lock.json'))) {
    folder = path.dirname(folder);
  }
  return folder;
}

export function waitFor(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
