/** Pages for operators and for the balancer's checks. */
import {createError} from '@sassafrasspan/core';
import {
  Metrics,
  Route,
  sendError,
  sendJson,
  sendText,
} from '@sassafrasspan/runtime';

const PROMETHEUS_TYPE = 'text/plain; version=0.0.4';

/** What the pages show. */
export interface OperatorsBackend {
  readonly metrics: Metrics;
  /** Tells whether the process takes work. */
  isReady(): boolean;
  /** Describes the state of the process as JSON data. */
  describeStatus(): unknown;
}

/** Builds the routes that every node has. */
export function createOperatorsRoutes(backend: OperatorsBackend): Route[] {
  return [
    {
      method: 'GET',
      path: '/health',
      handler: ({response}) => sendJson(response, 200, {healthy: true}),
    },
    {
      method: 'GET',
      path: '/ready',
      handler: ({response}) => {
        if (backend.isReady()) sendJson(response, 200, {ready: true});
        else sendError(response, createError('not-ready', 'not ready'));
      },
    },
    {
      method: 'GET',
      path: '/metrics',
      handler: ({response}) =>
        sendText(response, PROMETHEUS_TYPE, backend.metrics.formatPrometheus()),
    },
    {
      method: 'GET',
      path: '/status',
      handler: ({response}) =>
        sendJson(response, 200, backend.describeStatus()),
    },
  ];
}
