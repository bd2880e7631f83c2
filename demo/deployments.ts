import type { Deployment } from './deployment.js';

/** Both deployments of the brief. */
export const deployments: readonly [Deployment, Deployment] = [
  {
    name: 'reenvio-norte',
    region: 'cantabrico',
    availabilityZones: ['oviedo-a', 'santander-b', 'lugo-c'],
    engineService: 'redactor',
    engineCount: 2,
    plainService: 'padron',
    plainCount: 1,
    models: ['aviso-hogares', 'aviso-comercios', 'clasificador-cartas', 'resumen-quejas'],
    lookupPath: '/direcciones',
    confirmPath: '/reenvios',
    confirmField: 'chargeId',
    movePenalty: 0,
    parallelLoads: 4,
    killed: 'engine',
  },
  {
    name: 'agentia',
    region: 'bucuresti',
    availabilityZones: ['sala-nord', 'sala-sud', 'sala-rezerva'],
    engineService: 'asistent-contabil',
    engineCount: 2,
    plainService: 'registru-central',
    plainCount: 1,
    models: ['note-amortizare', 'reconciliere', 'clasificator-active', 'rezumat-inventar'],
    lookupPath: '/active',
    confirmPath: '/transferuri',
    confirmField: 'transferId',
    movePenalty: 5,
    parallelLoads: 12,
    killed: 'plain',
  },
];
