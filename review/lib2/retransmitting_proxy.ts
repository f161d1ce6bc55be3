/**
 * TCP proxy that cuts a link as a partition does. Bytes that are sent on an open
 * connection during the cut are not lost: the sender's kernel sends them again
 * after doubling delays, so that they arrive some time after the cut has ended,
 * followed by the end of the connection if it was closed meanwhile. Connections
 * that are opened during the cut carry nothing.
 */
import {Server, Socket, connect, createServer} from 'node:net';
import type {PeerAddress} from '@sassafrasspan/runtime';

/** Delay of the first retransmission in Linux, in ms; it doubles each time. */
const FIRST_RETRANSMISSION_MS = 200;
/** Time that bytes take in each direction, in ms: that between zones. */
const ONE_WAY_MS = 3.5;

/** One direction of a connection. */
class HeldDirection {
  private readonly held: Buffer[] = [];
  private heldSinceMs: number | undefined;
  private hasEnded = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly to: Socket,
    private readonly onLate: (text: string) => void,
  ) {}

  /** Whether bytes or an end wait to be sent again. */
  isHeld(): boolean {
    return this.heldSinceMs !== undefined;
  }

  write(chunk: Buffer, isCut: boolean): void {
    if (!isCut && !this.isHeld()) {
      this.to.write(chunk);
      return;
    }
    this.heldSinceMs ??= performance.now();
    this.held.push(chunk);
  }

  end(isCut: boolean): void {
    if (!isCut && !this.isHeld()) {
      this.to.end();
      return;
    }
    this.heldSinceMs ??= performance.now();
    this.hasEnded = true;
  }

  /** Sends what is held at the next retransmission after the end of the cut. */
  heal(): void {
    if (this.heldSinceMs === undefined || this.timer !== undefined) return;
    const heldMs = performance.now() - this.heldSinceMs;
    let delayMs = FIRST_RETRANSMISSION_MS;
    let atMs = delayMs;
    while (atMs <= heldMs) {
      delayMs *= 2;
      atMs += delayMs;
    }
    this.timer = setTimeout(() => this.flush(), atMs - heldMs);
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  private flush(): void {
    this.heldSinceMs = undefined;
    this.timer = undefined;
    const [first] = this.held;
    if (first !== undefined) this.onLate(first.toString().split('\r\n')[0]);
    for (const chunk of this.held.splice(0)) this.to.write(chunk);
    if (this.hasEnded) this.to.end();
  }
}

interface Pair {
  readonly client: Socket;
  readonly upstream: Socket;
  readonly directions: readonly HeldDirection[];
}

export class RetransmittingProxy {
  private isCut = false;
  private readonly pairs = new Set<Pair>();
  private readonly server: Server;

  private constructor(
    private readonly target: PeerAddress,
    private readonly onLate: (text: string) => void,
  ) {
    this.server = createServer({allowHalfOpen: true}, client =>
      this.connectUpstream(client),
    );
  }

  static async start(
    address: PeerAddress,
    target: PeerAddress,
    onLate: (text: string) => void = () => undefined,
  ): Promise<RetransmittingProxy> {
    const proxy = new RetransmittingProxy(target, onLate);
    await new Promise<void>(resolve => {
      proxy.server.listen(address.port, address.host, resolve);
    });
    return proxy;
  }

  cut(): void {
    this.isCut = true;
  }

  heal(): void {
    this.isCut = false;
    for (const {directions} of this.pairs) {
      for (const direction of directions) direction.heal();
    }
  }

  stop(): void {
    this.server.close();
    for (const {client, upstream, directions} of this.pairs) {
      for (const direction of directions) direction.stop();
      client.destroy();
      upstream.destroy();
    }
  }

  private connectUpstream(client: Socket): void {
    client.on('error', () => undefined);
    if (this.isCut) {
      client.on('end', () => client.destroy());
      client.resume();
      return;
    }
    const upstream = connect({...this.target, allowHalfOpen: true});
    upstream.on('error', () => client.destroy());
    const up = new HeldDirection(upstream, this.onLate);
    const down = new HeldDirection(client, () => undefined);
    const pair = {client, upstream, directions: [up, down]};
    this.pairs.add(pair);
    const later = (task: () => void) => setTimeout(task, ONE_WAY_MS);
    client.on('data', (chunk: Buffer) =>
      later(() => up.write(chunk, this.isCut)),
    );
    client.on('end', () => later(() => up.end(this.isCut)));
    upstream.on('data', (chunk: Buffer) =>
      later(() => down.write(chunk, this.isCut)),
    );
    upstream.on('end', () => later(() => down.end(this.isCut)));
    upstream.on('close', () => {
      this.pairs.delete(pair);
      client.destroy();
    });
  }
}
