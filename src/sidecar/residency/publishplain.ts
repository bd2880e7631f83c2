import type { Context } from '../part/index.js';
import { followDocument } from './followdocument.js';
import { RecordPublisher } from './recordpublisher.js';

/** Publishes the record of a plain service. It has no models, so only its phase and incarnation change. */
export function publishPlain(context: Context): { leave(): void } {
  const publisher = new RecordPublisher(context);
  const emptyFields = { residents: [], freeBytes: 0, role: '', demand: [] };
  const publish = (phase: 'ready' | 'leaving') => {
    publisher.publish({ ...emptyFields, phase }, context.settings.listen);
  };
  let isLeaving = false;
  const publishPhase = () => publish(isLeaving ? 'leaving' : 'ready');
  followDocument(context, publishPhase);
  context.intents.listen(({ type }) => {
    if (type === 'taken') publishPhase();
  });
  return {
    leave() {
      // Called again each time the host list is read.
      if (isLeaving) return;
      isLeaving = true;
      publishPhase();
    },
  };
}
