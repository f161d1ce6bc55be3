/** A client: each attempt has its own id and a new channel. */
import {randomBytes} from 'node:crypto';
import {request} from 'node:http';

export interface Reply {
  /** 0 if no complete answer came. */
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
}

export interface Call {
  readonly address: {readonly host: string; readonly port: number};
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly id?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly deadlineMs?: number;
}

/** Time that a client waits beyond its own deadline, in ms. */
const MARGIN_MS = 1_500;

export function createId(): string {
  return randomBytes(8).toString('hex');
}

export function send(call: Call): Promise<Reply> {
  const {address, method, path, host, body, headers} = call;
  const {id = createId(), deadlineMs = 2_000} = call;
  return new Promise(resolve => {
    const failed = {status: 0, headers: {}, body: ''};
    const outgoing = request({
      ...address,
      agent: false,
      method,
      path,
      headers: {
        Host: host,
        'Request-Id': id,
        'Deadline-Ms': String(deadlineMs),
        ...(body === undefined
          ? {}
          : {'Content-Length': String(Buffer.byteLength(body))}),
        ...headers,
      },
    });
    const timer = setTimeout(() => outgoing.destroy(), deadlineMs + MARGIN_MS);
    outgoing.on('response', response => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', () => resolve(failed));
      response.on('end', () => {
        clearTimeout(timer);
        if (!response.complete) return resolve(failed);
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString('utf8'),
        });
      });
    });
    outgoing.on('error', () => {
      clearTimeout(timer);
      resolve(failed);
    });
    outgoing.end(body);
  });
}
