/**
 * Serves weights to the engines on the agent's VM. A `stage` order contains a
 * URL of this server.
 */
import {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {
  DEFAULT_HTTP_LIMITS,
  HttpExchange,
  HttpServer,
  ListenAddress,
  sendError,
} from '@sassafrasspan/runtime';
import {createError} from '@sassafrasspan/core';
import type {WeightSource, WeightVersion} from './weight_source';

export class WeightServer {
  private address: ListenAddress | undefined;

  private constructor(private readonly server: HttpServer) {}

  static create(source: WeightSource): WeightServer {
    const route = {
      method: 'GET',
      path: '/weights/:service/:version/:key',
      handler: (exchange: HttpExchange) => sendWeights(exchange, source),
    };
    return new WeightServer(HttpServer.create([route], DEFAULT_HTTP_LIMITS));
  }

  async listen(address: ListenAddress): Promise<void> {
    this.address = await this.server.listen(address);
  }

  /** Returns the URL from which an engine downloads a version. */
  formatUrl(weights: WeightVersion): string {
    const {host, port} = this.address ?? {host: '127.0.0.1', port: 0};
    const key = encodeURIComponent(weights.weightsKey);
    const path = `${weights.service}/${weights.version}/${key}`;
    return `http://${host}:${port}/weights/${path}`;
  }

  /** Closes the server and its open connections at once. */
  destroy(): void {
    this.server.destroy();
  }
}

/**
 * Streams a version. On an error the connection is destroyed, so that a
 * truncated answer never looks complete.
 */
async function sendWeights(
  exchange: HttpExchange,
  source: WeightSource,
): Promise<void> {
  const {response, params} = exchange;
  const version = Number(params.version);
  if (!Number.isInteger(version)) {
    return sendError(
      response,
      createError('bad-request', 'the version must be an integer'),
    );
  }
  const {service, key} = params;
  const weights = {service, version, weightsKey: key};
  const bytes = Readable.from(source.streamVersion(weights), {
    objectMode: true,
  });
  response.setHeader('content-type', 'application/octet-stream');
  await pipeline(bytes, response).catch(() => response.destroy());
}
