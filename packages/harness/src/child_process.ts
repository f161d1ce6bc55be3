/**
 * Starts processes of the system and its stand-ins for the demo and for
 * tests, and ends, pauses or resumes them.
 */
import {ChildProcess, spawn} from 'node:child_process';
import {existsSync} from 'node:fs';
import path from 'node:path';

const STOP_TIMEOUT_MS = 20_000;

/** A process that has printed its addresses. */
export class ManagedProcess {
  private readonly exited: Promise<number | null>;

  private constructor(
    readonly name: string,
    private readonly child: ChildProcess,
    /** Addresses that the process printed, as JSON data. */
    readonly addresses: unknown,
    private readonly output: string[],
  ) {
    this.exited = new Promise(resolve => {
      child.once('exit', code => resolve(code));
    });
  }

  /** Starts a bundle and waits for its line of addresses. */
  static async create(
    name: string,
    bundle: string,
    args: readonly string[],
  ): Promise<ManagedProcess> {
    const script = path.join(findDistFolder(), bundle);
    const child = spawn(process.execPath, [script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const output: string[] = [];
    child.stderr.on('data', (data: Buffer) => output.push(data.toString()));
    const line = await readFirstLine(name, child, output);
    return new ManagedProcess(name, child, JSON.parse(line), output);
  }

  /** Returns the id of the process; 0 before it has one. */
  getPid(): number {
    return this.child.pid ?? 0;
  }

  /** Returns what the process has written to standard error. */
  getStderr(): string {
    return this.output.join('');
  }

  /** Sends a signal. */
  sendSignal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Resolves with the exit code once the process has ended. */
  waitForExit(): Promise<number | null> {
    return this.exited;
  }

  /** Kills the process at once. */
  async kill(): Promise<void> {
    if (this.child.exitCode !== null || this.child.signalCode !== null) return;
    this.child.kill('SIGKILL');
    await this.exited;
  }

  /** Asks the process to stop, and kills it if it does not. */
  async stop(): Promise<number | null> {
    this.child.kill('SIGTERM');
    const timer = setTimeout(() => this.child.kill('SIGKILL'), STOP_TIMEOUT_MS);
    const code = await this.exited;
    clearTimeout(timer);
    return code;
  }
}

/** Returns the folder of the bundles. */
export function findDistFolder(): string {
  for (let folder = __dirname; ; folder = path.dirname(folder)) {
    const dist = path.join(folder, 'dist');
    if (existsSync(path.join(dist, 'sassafrasspan.cjs'))) return dist;
    if (existsSync(path.join(folder, 'sassafrasspan.cjs'))) return folder;
    if (path.dirname(folder) === folder) {
      throw new Error('dist/ is missing: run npm run bundle');
    }
  }
}

function readFirstLine(
  name: string,
  child: ChildProcess,
  output: readonly string[],
): Promise<string> {
  return new Promise((resolve, reject) => {
    let text = '';
    child.stdout?.on('data', (data: Buffer) => {
      text += data.toString();
      const end = text.indexOf('\n');
      if (end >= 0) resolve(text.slice(0, end));
    });
    child.once('exit', code => {
      reject(new Error(`${name} exited with ${code}: ${output.join('')}`));
    });
  });
}
