import { Flags } from '@oclif/core';

/** Flag of the commands that name a service: the region whose document is meant. */
export const regionFlag = {
  region: Flags.string({ description: 'region of the document, if several have the service' }),
};
