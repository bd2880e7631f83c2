import { credentials, Metadata } from '@grpc/grpc-js';
import { WorkClient, type PlacementPlan, type PlacementReply } from '../../src/wire/index.js';

const TIMEOUT_MS = 1000;

/** Sends a placement plan to a sidecar. Returns undefined if the call failed or timed out. */
export function sendPlan(port: number, plan: PlacementPlan): Promise<PlacementReply | undefined> {
  const client = new WorkClient(`127.0.0.1:${port}`, credentials.createInsecure());
  const deadline = Date.now() + TIMEOUT_MS;
  return new Promise((resolve) => {
    client.place(plan, new Metadata(), { deadline }, (error, reply) => {
      client.close();
      resolve(error ? undefined : reply);
    });
  });
}
