/**
 * Child processes of the harness: starts nodes and stand-ins from the bundles
 * in dist/, sends them signals and stops them.
 */
import {ChildProcess, spawn} from 'node:child_process';
import {existsSync} from 'node:fs';
import path from 'node:path';

/** Time after SIGTERM at which a process is killed. */
const STOP_TIMEOUT_MS = 20_000;

/** A child process that has started and printed its addresses. */
export class ManagedProcess {
  private readonly exited: Promise<number | null>;

  private constructor(
    readonly name: string,
    private readonly child: ChildProcess,
    /** The first line of standard output, parsed as JSON. */
    readonly addresses: unknown,
    private readonly stderrChunks: string[],
  ) {
    this.exited = new Promise(resolve => {
      child.once('exit', code => resolve(code));
    });
  }

  /**
   * Starts a bundle and waits until it prints its addresses. Rejects with the
   * standard error output if the process exits before that.
   */
  static async create(
    name: string,
    bundle: string,
    args: readonly string[],
  ): Promise<ManagedProcess> {
    const script = path.join(findDistFolder(), bundle);
    const child = spawn(process.execPath, [script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const stderrChunks: string[] = [];
    child.stderr.on('data', (data: Buffer) =>
      stderrChunks.push(data.toString()),
    );
    const line = await readFirstLine(name, child, stderrChunks);
    return new ManagedProcess(name, child, JSON.parse(line), stderrChunks);
  }

  /** Returns the process id, or 0 if the process could not be spawned. */
  getPid(): number {
    return this.child.pid ?? 0;
  }

  /** Returns everything written to standard error so far. */
  getStderr(): string {
    return this.stderrChunks.join('');
  }

  sendSignal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Resolves with the exit code; null if a signal ended the process. */
  waitForExit(): Promise<number | null> {
    return this.exited;
  }

  /** Sends SIGKILL and waits for the exit; does nothing after an exit. */
  async kill(): Promise<void> {
    if (this.child.exitCode !== null || this.child.signalCode !== null) return;
    this.child.kill('SIGKILL');
    await this.exited;
  }

  /**
   * Sends SIGTERM, and SIGKILL if the process does not exit in time. Returns
   * the exit code; null if a signal ended the process.
   */
  async stop(): Promise<number | null> {
    this.child.kill('SIGTERM');
    const timer = setTimeout(() => this.child.kill('SIGKILL'), STOP_TIMEOUT_MS);
    const code = await this.exited;
    clearTimeout(timer);
    return code;
  }
}

/**
 * Returns the folder of the bundles: the nearest dist/ above this file, or the
 * folder of this file itself when it runs as a bundle.
 */
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
  stderrChunks: readonly string[],
): Promise<string> {
  return new Promise((resolve, reject) => {
    let text = '';
    child.stdout?.on('data', (data: Buffer) => {
      text += data.toString();
      const end = text.indexOf('\n');
      if (end >= 0) resolve(text.slice(0, end));
    });
    child.once('exit', code => {
      reject(
        new Error(`${name} exited with ${code}: ${stderrChunks.join('')}`),
      );
    });
  });
}
