/** Addresses of peers as `host:port`. */

const MAX_PORT = 65_535;

/** Host and port of a peer. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** Parses `host:port`; undefined for anything else. */
export function parseAddress(text: string): PeerAddress | undefined {
  const colon = text.lastIndexOf(':');
  const digits = text.slice(colon + 1);
  const port = Number(digits);
  const isPort = /^\d+$/.test(digits) && port > 0 && port <= MAX_PORT;
  if (colon < 1 || !isPort) return undefined;
  return {host: text.slice(0, colon), port};
}

/** Formats an address as `host:port`. */
export function formatAddress(address: PeerAddress): string {
  return `${address.host}:${address.port}`;
}
