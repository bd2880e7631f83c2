import { Metadata } from '@grpc/grpc-js';
import type { PlacementPlan, PlacementReply } from '../../wire/index.js';
import type { Context } from '../component/index.js';

const TIMEOUT_MS = 1_500;

/** Sends an upstream its part of a plan. Resolves with undefined if the sidecar did not answer. */
export function sendPlan(
  { link, clock }: Pick<Context, 'link' | 'clock'>,
  sidecarAddress: string,
  plan: PlacementPlan,
): Promise<PlacementReply | undefined> {
  const deadline = clock.wallMs() + TIMEOUT_MS;
  return new Promise((resolve) => {
    link
      .client(sidecarAddress)
      .place(plan, new Metadata(), { deadline }, (error, reply) =>
        resolve(error ? undefined : reply),
      );
  });
}
