/**
 * Lets connections whose bodies come in very small chunks be read in turn. Each
 * chunk costs processor time whatever its size; without turns, some hundred such
 * bodies keep the process from all other work for seconds.
 */
import type {Socket} from 'node:net';

/** Chunks after which their mean size is looked at. */
const SAMPLED_CHUNKS = 1_024;
/** Mean size under which chunks count as very small, in bytes. */
const MIN_MEAN_BYTES = 64;

/** Connections that wait until they are read on. */
export class ReadTurns {
  private readonly waiting = new Set<Socket>();
  /** Connections that leave the set when they close. */
  private readonly followed = new WeakSet<Socket>();
  private turnEndsAtMs = 0;
  private timer: NodeJS.Timeout | undefined;

  private constructor() {}

  static create(): ReadTurns {
    return new ReadTurns();
  }

  /** Stops reading a connection until its turn; the first of the waiting is read
   * once the process has been free for as long as the turn before it took. */
  wait(socket: Socket): void {
    const startedAtMs = performance.now();
    // Node resumes the connection itself until the end of this pass of its loop.
    setImmediate(() => {
      if (socket.destroyed) return;
      socket.pause();
      this.waiting.add(socket);
      this.follow(socket);
      const nowMs = performance.now();
      const endsAtMs = nowMs + (nowMs - startedAtMs);
      this.turnEndsAtMs = Math.max(this.turnEndsAtMs, endsAtMs);
      this.scheduleTurn();
    });
  }

  private follow(socket: Socket): void {
    if (this.followed.has(socket)) return;
    this.followed.add(socket);
    socket.once('close', () => this.waiting.delete(socket));
  }

  private scheduleTurn(): void {
    if (this.timer !== undefined || this.waiting.size === 0) return;
    const isAlone = this.waiting.size === 1;
    const delayMs = isAlone ? 0 : this.turnEndsAtMs - performance.now();
    this.timer = setTimeout(() => this.startTurn(), Math.max(0, delayMs));
  }

  private startTurn(): void {
    this.timer = undefined;
    const [socket] = this.waiting;
    if (socket === undefined) return;
    this.waiting.delete(socket);
    socket.resume();
    this.scheduleTurn();
  }
}

/** Turns of all connections of the process. */
const TURNS = ReadTurns.create();

/** Counts the chunks of one body. */
export class ChunkMeter {
  private chunks = 0;
  private bytes = 0;

  private constructor(private readonly socket: Socket) {}

  static create(socket: Socket): ChunkMeter {
    return new ChunkMeter(socket);
  }

  addChunk(bytes: number): void {
    this.chunks += 1;
    this.bytes += bytes;
    if (this.chunks < SAMPLED_CHUNKS) return;
    if (this.bytes < SAMPLED_CHUNKS * MIN_MEAN_BYTES) TURNS.wait(this.socket);
    this.chunks = 0;
    this.bytes = 0;
  }
}
