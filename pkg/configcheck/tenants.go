package configcheck

import "github.com/hibiscuscross/hibiscuscross/pkg/catalog"

// checkTenants names a key by its position, since findings are logged.
func (f *findings) checkTenants(d *Document) {
	type owner struct{ tenant, key int }
	names, owners := map[string]int{}, map[string]owner{}
	for i := range d.Tenants {
		t, place := &d.Tenants[i], Place{List: Tenants, Index: i}
		entry := d.entry(place)
		if !isToken(t.Name) { // the name is the value of a header
			f.add(InvalidTenantName, place.field(Name), entry, "is empty, not printable or has spaces at an end")
		}
		if first, taken := names[t.Name]; taken {
			f.add(DuplicateTenant, place.field(Name), entry, "tenant number %d has the same name", first+1)
		} else {
			names[t.Name] = i
		}
		f.checkQuota(t, place, entry)
		if len(t.Keys) == 0 {
			f.add(TenantWithoutKeys, place.field(Keys), entry, "no request can belong to the tenant")
		}
		for n, key := range t.Keys {
			at := place.inner(Keys, n)
			first, taken := owners[key]
			switch {
			case !isToken(key):
				f.add(InvalidKey, at, entry, "key number %d is empty, not printable or has spaces at an end", n+1)
			case !taken:
				owners[key] = owner{i, n}
			case d.Tenants[first.tenant].Name == t.Name:
				f.add(RepeatedKey, at, entry, "key number %d is the same as key number %d", n+1, first.key+1)
			default:
				f.add(KeyOfTwoTenants, at, entry, "key number %d is also key number %d of tenant %q", n+1, first.key+1, d.Tenants[first.tenant].Name)
			}
		}
	}
}

func (f *findings) checkQuota(t *catalog.Tenant, place Place, entry string) {
	for _, p := range tenantProperties {
		switch value := p.value(t).(type) {
		case float64:
			if detail := invalidNumber(value); detail != "" {
				f.add(InvalidQuota, place.field(p.field), entry, "%s", detail)
			}
		default:
			f.checkNumber(value, place.field(p.field), entry)
		}
	}
	request, name := 1.0, "1"
	if t.Unit == catalog.QuotaTokens {
		request, name = t.PlainTokens, "the tokens of a request that names none"
	}
	switch {
	case t.Rate > 0 && t.Burst == 0:
		f.add(QuotaWithoutBurst, place.field(Burst), entry, "is 0 or missing, but the rate is limited to %g", t.Rate)
	case t.Rate > 0 && t.Burst > 0 && t.Burst < request:
		f.add(QuotaBurstBelowRequest, place.field(Burst), entry, "%g is less than one request (%g, %s)", t.Burst, request, name)
	case t.Rate == 0 && t.Burst > 0:
		f.add(QuotaWithoutRate, place.field(Rate), entry, "is 0 or missing, so that the burst of %g has no effect", t.Burst)
	}
}
