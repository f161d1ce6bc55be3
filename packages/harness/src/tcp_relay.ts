/**
 * A TCP relay on loopback between two processes, to inject network faults. It
 * can stop forwarding on open connections without closing them, while new
 * connections work, or refuse new connections.
 */
import {Server, Socket, connect, createServer} from 'node:net';
import type {AddressInfo} from 'node:net';

/** Handling of new connections; 'silent' accepts them but forwards no data. */
export type RelayMode = 'pass' | 'silent' | 'refuse';

/** The two sockets of a relayed connection. */
interface RelayedConnection {
  readonly client: Socket;
  readonly upstream: Socket;
}

/** A relay to one target at a time. */
export class TcpRelay {
  private readonly connections = new Set<RelayedConnection>();
  private mode: RelayMode = 'pass';

  private constructor(
    private readonly server: Server,
    private host: string,
    private port: number,
  ) {}

  /** Starts a relay to `host:port` on a free loopback port. */
  static async create(target: string): Promise<TcpRelay> {
    const [host, port] = target.split(':');
    const server = createServer();
    const relay = new TcpRelay(server, host, Number(port));
    server.on('connection', client => relay.acceptConnection(client));
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', () => resolve());
    });
    return relay;
  }

  /** Forwards new connections to another `host:port`. */
  setTarget(target: string): void {
    const [host, port] = target.split(':');
    this.host = host;
    this.port = Number(port);
  }

  /** Silences open and new connections, as a network partition does. */
  blockTraffic(): void {
    this.mode = 'silent';
    this.silenceConnections();
  }

  /** Returns the relay's own `host:port`. */
  getAddress(): string {
    const bound = this.server.address() as AddressInfo;
    return `127.0.0.1:${bound.port}`;
  }

  private acceptConnection(client: Socket): void {
    client.on('error', () => client.destroy());
    if (this.mode === 'refuse') {
      client.destroy();
      return;
    }
    const upstream = connect(this.port, this.host);
    const connection = {client, upstream};
    this.connections.add(connection);
    upstream.on('error', () => client.destroy());
    const closeBoth = () => {
      client.destroy();
      upstream.destroy();
      this.connections.delete(connection);
    };
    client.on('close', closeBoth);
    upstream.on('close', closeBoth);
    client.pipe(upstream);
    upstream.pipe(client);
    if (this.mode === 'silent') silenceConnection(connection);
  }

  /** Sets the mode for new connections; open ones are not affected. */
  setMode(mode: RelayMode): void {
    this.mode = mode;
  }

  /** Stops forwarding on open connections for good, without closing them. */
  silenceConnections(): void {
    for (const item of this.connections) silenceConnection(item);
  }

  /** Closes every open connection. */
  breakConnections(): void {
    for (const {client} of this.connections) client.destroy();
  }

  /** Stops listening and closes every connection. */
  close(): void {
    this.server.close();
    this.breakConnections();
  }
}

function silenceConnection({client, upstream}: RelayedConnection): void {
  client.unpipe(upstream);
  upstream.unpipe(client);
  client.pause();
  upstream.pause();
}
