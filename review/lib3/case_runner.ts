/**
 * What the cases share: the record of what was sent, answered and run, a
 * deployment of real processes on free loopback addresses, and the exit code.
 */
import {appendFileSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import path from 'node:path';
import {
  DeployedVm,
  DeploymentExtras,
  DeploymentSize,
  ProcessDeployment,
} from '../../platform/src/testing/process_deployment';

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;
/** Time after which a case is given up, in ms. */
const MAX_RUN_MS = 110_000;
/** Second octets of the loopback addresses among which a free one is searched. */
const FIRST_OCTET = 110;
const OCTETS = 120;
/** Ports that the deployment binds on its addresses. */
const PORTS = [7_300, 7_301, 7_302, 8_263, 8_266, 8_267, 8_268, 9_464];

/** Writes `record.txt` of a case; times are in ms since its start. */
export class CaseRecord {
  private readonly startedAtMs = Date.now();

  private constructor(private readonly file: string) {
    writeFileSync(file, '');
  }

  static create(number: number): CaseRecord {
    return new CaseRecord(path.resolve(`review/${number}/record.txt`));
  }

  write(text: string): void {
    const line = `${String(Date.now() - this.startedAtMs).padStart(6)} ${text}`;
    appendFileSync(this.file, `${line}\n`);
    console.log(line);
  }

  /** Formats a time as it stands in the record. */
  formatTime(atMs: number): string {
    return String(atMs - this.startedAtMs);
  }
}

/** Whether the disruption takes place; `TROUBLE=0` leaves it out. */
export const hasTrouble = process.env.TROUBLE !== '0';

/**
 * Runs a case and ends the process: with 0 if the rule held, with 1 if `run`
 * returns true since it was broken, and with 2 if the case could not run.
 */
export async function runCase(
  number: number,
  size: DeploymentSize,
  run: (deployment: ProcessDeployment, record: CaseRecord) => Promise<boolean>,
  extras: DeploymentExtras = {},
): Promise<void> {
  const record = CaseRecord.create(number);
  record.write(`case ${number}, disruption: ${hasTrouble ? 'yes' : 'no'}`);
  let deployment: ProcessDeployment | undefined;
  let code = EXIT_NOT_RUN;
  const stop = async () => {
    await deployment?.stop();
    process.exit(code);
  };
  const timer = setTimeout(() => {
    record.write('given up: the case took too long');
    code = EXIT_NOT_RUN;
    void stop();
  }, MAX_RUN_MS);
  process.on('uncaughtException', error => {
    record.write(`could not run: ${error.stack}`);
    code = EXIT_NOT_RUN;
    void stop();
  });
  process.on('SIGTERM', () => void stop());
  process.on('SIGINT', () => void stop());
  try {
    const octet = await findFreeOctet();
    deployment = await ProcessDeployment.start(size, octet, extras);
    const isBroken = await run(deployment, record);
    code = isBroken ? EXIT_BROKEN : EXIT_HELD;
    record.write(isBroken ? 'result: the rule was broken' : 'result: held');
  } catch (error) {
    record.write(`could not run: ${String(error)}`);
  }
  clearTimeout(timer);
  await stop();
}

async function findFreeOctet(): Promise<number> {
  const first = process.pid % OCTETS;
  for (let n = 0; n < OCTETS; n++) {
    const octet = FIRST_OCTET + ((first + n) % OCTETS);
    const checks = PORTS.map(port => isFree(`127.${octet}.2.1`, port));
    if ((await Promise.all(checks)).every(Boolean)) return octet;
  }
  throw new Error('no free loopback addresses');
}

function isFree(host: string, port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

export function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Polls until `find` returns a value; throws after the timeout. */
export async function waitFor<T>(
  description: string,
  find: () => T | undefined | Promise<T | undefined>,
  timeoutMs = 20_000,
): Promise<T> {
  const endsAtMs = Date.now() + timeoutMs;
  for (;;) {
    const found = await find();
    if (found !== undefined) return found;
    if (Date.now() > endsAtMs) throw new Error(`timed out: ${description}`);
    await wait(20);
  }
}

/** The coordinator's record in the store. */
export interface StoredCoordinator {
  readonly node: string;
  readonly epoch: number;
}

/** Reads the coordinator's record in the store. */
export function readCoordinator(
  deployment: ProcessDeployment,
): StoredCoordinator | undefined {
  const object = deployment.store
    .list('sassafrasspan')
    .find(({metadata}) => metadata.name === 'home');
  return object?.specification as StoredCoordinator | undefined;
}

/** Returns the VM of the coordinator. */
export function findCoordinatorVm(
  deployment: ProcessDeployment,
): DeployedVm | undefined {
  const node = readCoordinator(deployment)?.node;
  return deployment.vms.find(vm => vm.name === node);
}

/** Writes the runs of all model servers to the record, in order. */
export function recordRuns(
  deployment: ProcessDeployment,
  record: CaseRecord,
): void {
  const runs = deployment.models
    .flatMap((model, index) => model.runs.map(run => ({run, index})))
    .sort((a, b) => a.run.startedAtMs - b.run.startedAtMs);
  for (const {run, index} of runs) {
    const time = record.formatTime(run.startedAtMs);
    const resumed = `after event ${run.resumedAfter}`;
    record.write(
      `server ${index + 1} ran ${run.itemId} at ${time}, ${resumed}: ${run.end}`,
    );
  }
}
