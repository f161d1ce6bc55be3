/**
 * A TCP relay on loopback that stands between two processes. Its connections
 * can go silent without closing while new ones work, or be cut altogether.
 */
import {Server, Socket, connect, createServer} from 'node:net';
import type {AddressInfo} from 'node:net';

/** What the relay does with connections made from now on. */
export type RelayMode = 'pass' | 'silent' | 'refuse';

/** The two ends of one relayed connection. */
interface RelayedPair {
  readonly near: Socket;
  readonly far: Socket;
}

/** A relay to one address. */
export class TcpRelay {
  private readonly pairs = new Set<RelayedPair>();
  private mode: RelayMode = 'pass';

  private constructor(
    private readonly server: Server,
    private host: string,
    private port: number,
  ) {}

  /** Starts a relay to `host:port`. */
  static async create(target: string): Promise<TcpRelay> {
    const [host, port] = target.split(':');
    const server = createServer();
    const relay = new TcpRelay(server, host, Number(port));
    server.on('connection', near => relay.acceptConnection(near));
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', () => resolve());
    });
    return relay;
  }

  /** Leads connections made from now on to another `host:port`. */
  setTarget(target: string): void {
    const [host, port] = target.split(':');
    this.host = host;
    this.port = Number(port);
  }

  /** Makes open and later connections silent, as a cut link does. */
  cutLink(): void {
    this.mode = 'silent';
    this.silenceConnections();
  }

  /** Returns `host:port` of the relay. */
  getAddress(): string {
    const bound = this.server.address() as AddressInfo;
    return `127.0.0.1:${bound.port}`;
  }

  private acceptConnection(near: Socket): void {
    near.on('error', () => near.destroy());
    if (this.mode === 'refuse') {
      near.destroy();
      return;
    }
    const far = connect(this.port, this.host);
    const pair = {near, far};
    this.pairs.add(pair);
    far.on('error', () => near.destroy());
    const closePair = () => {
      near.destroy();
      far.destroy();
      this.pairs.delete(pair);
    };
    near.on('close', closePair);
    far.on('close', closePair);
    near.pipe(far);
    far.pipe(near);
    if (this.mode === 'silent') silencePair(pair);
  }

  /** Sets what happens to connections made from now on. */
  setMode(mode: RelayMode): void {
    this.mode = mode;
  }

  /** Makes every open connection silent for good; none is closed. */
  silenceConnections(): void {
    for (const pair of this.pairs) silencePair(pair);
  }

  /** Breaks off every open connection. */
  breakConnections(): void {
    for (const pair of this.pairs) pair.near.destroy();
  }

  /** Stops the relay. */
  close(): void {
    this.server.close();
    this.breakConnections();
  }
}

function silencePair(pair: RelayedPair): void {
  pair.near.unpipe(pair.far);
  pair.far.unpipe(pair.near);
  pair.near.pause();
  pair.far.pause();
}
