/**
 * A small deployment for the cases of the review: the three programs as separate
 * processes, started with the commands of deploy/system.toml, on loopback
 * addresses. Calls between nodes and to the store go through proxies.
 */
import {ChildProcess, spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import type {Server} from 'node:http';
import {Server as NetServer, connect, createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {LoopbackProxy} from '../../platform/src/testing/loopback_proxy';
import {StoreStandin} from '../../platform/src/testing/store_standin';
import {ROOT} from './record';

const FIRST_PORT = 7_300;
const CALLERS_PORT = 8_263;
const READINESS_PORT = 8_268;
const STORE_PORT = 8_266;
const METRICS_PORT = 9_464;
export const SERVER_PORT = 8_267;
const RESTART_DELAY_MS = 500;
const STORE_IDLE_MS = 60_000;
const READY_TIMEOUT_MS = 20_000;

export type Role = 'entry' | 'home' | 'agent';

const OCTETS = {entry: 1, home: 2, agent: 3} as const;
const PORT_OFFSETS = {entry: 0, home: 1, agent: 2} as const;

/** Bounds of the small installations. */
export const BOUNDS = {
  drainMs: 2_000,
  graceSeconds: 8,
  resultsKeptSeconds: 120,
  contactMs: 3_000,
  leaseMs: 3_000,
  cancelMs: 3_000,
} as const;

export interface Machine {
  readonly name: string;
  readonly role: Role;
  readonly host: string;
  readonly peerProxy: LoopbackProxy;
  readonly storeProxy: LoopbackProxy;
  readonly settingsFile: string;
  readonly output: string[];
  process: ChildProcess | undefined;
  /** Number of times that the process ended without a signal of the case. */
  ends: number;
}

export interface Size {
  readonly entry: number;
  readonly home: number;
  readonly agent: number;
}

/** Reads the command of a role from the deploy file. */
function readCommand(role: Role): string[] {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const run = /^run = "(.*)"$/m.exec(section)?.[1];
  if (run === undefined) throw new Error(`no command of ${role}`);
  return run.split(' ');
}

/** A loopback network that no other case uses while the server listens. */
interface Network {
  readonly octet: number;
  readonly reservation: NetServer;
}

/** Picks a second octet under which no address is in use, and reserves it. */
async function reserveNetwork(): Promise<Network> {
  for (let attempt = 0; attempt < 50; attempt++) {
    const octet = 20 + Math.floor(Math.random() * 200);
    const reservation = await listen(`127.${octet}.250.1`, CALLERS_PORT);
    if (reservation === undefined) continue;
    const probe = await listen(`127.${octet}.1.1`, CALLERS_PORT);
    if (probe !== undefined) {
      await new Promise(resolve => probe.close(resolve));
      return {octet, reservation};
    }
    reservation.close();
  }
  throw new Error('no free loopback network');
}

function listen(host: string, port: number): Promise<NetServer | undefined> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, host, () => resolve(server));
  });
}

export class Deployment {
  readonly machines: Machine[] = [];
  private readonly signalled = new Set<Machine>();
  private isStopped = false;

  private constructor(
    readonly store: StoreStandin,
    private readonly reserved: Network,
    private readonly folder: string,
  ) {}

  get network(): number {
    return this.reserved.octet;
  }

  /** Starts the store and, once `prepare` has filled it, the processes. */
  static async start(
    size: Size,
    prepare: (deployment: Deployment) => Promise<void>,
  ): Promise<Deployment> {
    const store = await StoreStandin.start();
    keepIdleChannels(store);
    const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
    const deployment = new Deployment(store, await reserveNetwork(), folder);
    try {
      await prepare(deployment);
      for (const role of ['home', 'agent', 'entry'] as const) {
        for (let n = 1; n <= size[role]; n++) {
          await deployment.addMachine(role, n);
        }
      }
      await deployment.waitUntilReady();
    } catch (error) {
      await deployment.stop();
      throw error;
    }
    return deployment;
  }

  /** Address of the server beside an agent, or of another server. */
  formatServerHost(group: 'engine' | 'plain', n: number): string {
    return `127.${this.network}.${group === 'engine' ? 3 : 4}.${n}`;
  }

  list(role: Role): Machine[] {
    return this.machines.filter(machine => machine.role === role);
  }

  getCallers(machine: Machine): {host: string; port: number} {
    return {host: machine.host, port: CALLERS_PORT};
  }

  /** Returns the machine that the store names as the coordinator. */
  findCoordinator(): Machine | undefined {
    const record = this.store
      .list('sassafrasspan')
      .find(({metadata}) => metadata.name === 'home')?.specification as
      {node: string} | undefined;
    return this.machines.find(({name}) => name === record?.node);
  }

  /** Sends a signal that ends the process of a machine. */
  terminate(machine: Machine, signal: NodeJS.Signals): void {
    this.signalled.add(machine);
    machine.process?.kill(signal);
  }

  /** Waits until an entry whose process gets a signal is ready again. */
  async waitForRestart(machine: Machine): Promise<void> {
    const before = machine.process;
    const endsAtMs = Date.now() + READY_TIMEOUT_MS;
    while (machine.process === before || !(await isReady(machine.host))) {
      if (Date.now() > endsAtMs) throw new Error(`${machine.name} is away`);
      await waitMs(50);
    }
  }

  readLog(machine: Machine): Array<Record<string, unknown>> {
    return machine.output
      .join('')
      .split('\n')
      .filter(line => line.startsWith('{'))
      .flatMap(line => {
        try {
          return [JSON.parse(line) as Record<string, unknown>];
        } catch {
          return [];
        }
      });
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(
      this.machines.map(async machine => {
        const child = machine.process;
        machine.peerProxy.stop();
        machine.storeProxy.stop();
        if (child === undefined || child.exitCode !== null) return;
        if (child.signalCode !== null) return;
        const exited = new Promise(resolve => child.once('exit', resolve));
        child.kill('SIGCONT');
        child.kill('SIGKILL');
        await exited;
      }),
    );
    this.store.stop();
    this.reserved.reservation.close();
    rmSync(this.folder, {recursive: true, force: true});
  }

  private async addMachine(role: Role, n: number): Promise<void> {
    const octet = OCTETS[role];
    const host = `127.${this.network}.${octet}.${n}`;
    const proxyHost = `127.${this.network}.${octet + 100}.${n}`;
    const storeHost = `127.${this.network}.${octet + 200}.${n}`;
    const port = FIRST_PORT + PORT_OFFSETS[role];
    const name = `${role}-${n}`;
    const machine: Machine = {
      name,
      role,
      host,
      peerProxy: await LoopbackProxy.start(
        {host: proxyHost, port},
        {host, port},
      ),
      storeProxy: await LoopbackProxy.start(
        {host: storeHost, port: STORE_PORT},
        this.store.getAddress(),
      ),
      settingsFile: path.join(this.folder, `${name}.yaml`),
      output: [],
      process: undefined,
      ends: 0,
    };
    this.machines.push(machine);
    const settings = {
      name,
      role,
      host,
      advertisedHost: proxyHost,
      failureDomain: `z${n % 2}`,
      firstPort: FIRST_PORT,
      metrics: `${host}:${METRICS_PORT}`,
      ...(role === 'entry'
        ? {
            callers: `${host}:${CALLERS_PORT}`,
            readiness: `${host}:${READINESS_PORT}`,
          }
        : {}),
      ...(role === 'agent' ? {engine: `${host}:${SERVER_PORT}`} : {}),
      store: {
        address: `${storeHost}:${STORE_PORT}`,
        maxObjectBytes: 1_048_576,
      },
      memoryMb: 300,
      capacityEstimates: 'reported',
      bounds: BOUNDS,
    };
    writeFileSync(machine.settingsFile, JSON.stringify(settings));
    this.startProcess(machine);
  }

  private startProcess(machine: Machine): void {
    const [, ...words] = readCommand(machine.role);
    const child = spawn(process.execPath, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        SASSAFRASSPAN_CONFIG: machine.settingsFile,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    machine.process = child;
    const append = (data: Buffer) => machine.output.push(data.toString());
    child.stdout.on('data', append);
    child.stderr.on('data', append);
    child.once('exit', () => {
      if (this.isStopped) return;
      if (!this.signalled.delete(machine)) machine.ends += 1;
      setTimeout(() => {
        if (!this.isStopped) this.startProcess(machine);
      }, RESTART_DELAY_MS);
    });
  }

  private async waitUntilReady(): Promise<void> {
    const endsAtMs = Date.now() + READY_TIMEOUT_MS;
    for (const {host, name} of this.list('entry')) {
      while (!(await isReady(host))) {
        if (Date.now() > endsAtMs) throw new Error(`${name} is not ready`);
        await waitMs(100);
      }
    }
    while (this.findCoordinator() === undefined) {
      if (Date.now() > endsAtMs) throw new Error('no coordinator');
      await waitMs(100);
    }
    // Lets the watches of all nodes reach their steady state.
    await waitMs(4_000);
  }
}

/** Lets the store keep idle channels for a minute, as servers often do. */
function keepIdleChannels(store: StoreStandin): void {
  const {server} = store as unknown as {server: Server};
  server.keepAliveTimeout = STORE_IDLE_MS;
}

function isReady(host: string): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect(READINESS_PORT, host, () => {
      socket.write(
        `GET /api/readiness HTTP/1.1\r\nHost: ${host}\r\nConnection: close\r\n\r\n`,
      );
    });
    let text = '';
    socket.on('data', data => (text += data.toString()));
    socket.on('error', () => resolve(false));
    socket.on('close', () => resolve(text.startsWith('HTTP/1.1 200')));
  });
}

export function waitMs(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}
