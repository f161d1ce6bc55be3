/** Starts stand-ins as processes and calls their admin pages. */
import {ManagedProcess} from './child_process';

const HOST = '127.0.0.1';

/** Host and port, as processes print them. */
export interface PrintedAddress {
  readonly host: string;
  readonly port: number;
}

/** A running stand-in. The caller stops its process. */
export interface StartedStandin {
  readonly name: string;
  readonly process: ManagedProcess;
  readonly url: string;
}

/** Starts a stand-in on a free loopback port. */
export async function startStandin(
  name: string,
  kind: string,
  options: Readonly<Record<string, unknown>>,
): Promise<StartedStandin> {
  const args = [kind, HOST, '0', JSON.stringify(options)];
  const started = await ManagedProcess.create(name, 'standins.cjs', args);
  const url = formatUrl(started.addresses as PrintedAddress);
  return {name, process: started, url};
}

/** Makes an admin call; throws unless the status is 2xx. */
export async function sendAdmin(
  url: string,
  method: string,
  body: unknown,
): Promise<void> {
  const reply = await fetch(url, {
    method,
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(body),
  });
  if (!reply.ok) throw new Error(`${url}: ${await reply.text()}`);
}

export function formatUrl(address: PrintedAddress): string {
  return `http://${address.host}:${address.port}`;
}

/** Returns host and port of a URL; port 0 (any free port) without a URL. */
export function readAddress(url: string | undefined): PrintedAddress {
  if (url === undefined || url === '') return {host: HOST, port: 0};
  const parsed = new URL(url);
  return {host: parsed.hostname, port: Number(parsed.port)};
}
